"""Experiments in virtual time and wall-clock measurements."""
