"""Removal of map entries by age."""

from collections.abc import Hashable
from typing import TypeVar

Key = TypeVar('Key', bound=Hashable)


def drop_older(since_s_by_key: dict[Key, float], before_s: float) -> list[Key]:
    """Remove entries older than `before_s` seconds; return their keys."""
    old = [key for key, since_s in since_s_by_key.items() if since_s < before_s]
    for key in old:
        del since_s_by_key[key]
    return old
