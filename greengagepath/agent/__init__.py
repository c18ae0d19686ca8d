"""Decisions of an agent for requests of the own protocol."""
