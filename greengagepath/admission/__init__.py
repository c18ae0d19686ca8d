"""Admission beside a target: limits, fair queueing and shedding."""
