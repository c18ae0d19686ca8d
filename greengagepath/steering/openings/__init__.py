"""Placement of opening packets at an agent."""
