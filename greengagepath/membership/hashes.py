"""Hash of text that is the same in every process."""

from xxhash import xxh3_64_intdigest


def hash_text(text: str) -> int:
    """Return 64 bits; not for use against an adversary."""
    return xxh3_64_intdigest(text.encode())
