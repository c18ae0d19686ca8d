"""Addresses of sockets."""

# Host and port.
Address = tuple[str, int]
