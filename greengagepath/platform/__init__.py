"""Adapter of the users' platform.

Translates its settings, packets, heartbeats and stored objects into the
types of the product and back. Nothing outside this folder knows the
platform's names, and nothing inside it decides.
"""
