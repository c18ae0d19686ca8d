"""Adapter for the platform of the users.

Translates its settings, packets, heartbeats and stored objects into the
types of the product and back. The platform's names are used only in
this package; it takes no routing or admission decisions.
"""
