"""Service-level burn rates and measures of request outcomes."""
