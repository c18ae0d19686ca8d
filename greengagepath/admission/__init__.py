"""Admission in front of a target: limits, fair queueing, load shedding."""
