"""Decisions for plain flows, whose callers carry no token.

Modules of this package do no I/O: time comes from a `TimerService`,
chance from a seeded generator, datagrams leave through an outbox.
"""
