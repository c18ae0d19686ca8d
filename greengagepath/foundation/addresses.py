"""Type of socket addresses."""

# Host and port.
Address = tuple[str, int]
