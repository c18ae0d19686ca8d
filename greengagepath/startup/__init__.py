"""Faster start of a role: imports modules from one bundle file."""
