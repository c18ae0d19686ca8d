"""Text hash that gives the same value in every process."""

from xxhash import xxh3_64_intdigest


def hash_text(text: str) -> int:
    """Return a 64-bit hash. It is not cryptographically secure."""
    return xxh3_64_intdigest(text.encode())
