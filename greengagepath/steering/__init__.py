"""Routing of plain flows, whose callers send no token.

The modules do no I/O, apart from `settings`, which reads a file: time
comes from a `TimerService`, and datagrams are sent through an outbox.
"""
