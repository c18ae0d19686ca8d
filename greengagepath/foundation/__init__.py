"""Modules shared by all roles, such as timers, logs and settings."""
