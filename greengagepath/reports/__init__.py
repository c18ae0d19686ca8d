"""Service levels and their burn."""
