"""Public import path of the client library for callers."""

from .caller.client import Client, HeldFlow

__all__ = ('Client', 'HeldFlow')
