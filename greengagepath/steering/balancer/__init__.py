"""Decisions of a balancer for plain flows."""
