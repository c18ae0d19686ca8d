"""Caller's library, under the name that programs import it by."""

from .caller.client import Client, HeldFlow

__all__ = ('Client', 'HeldFlow')
