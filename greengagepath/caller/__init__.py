"""Client library for callers: calls, their flows and their retries."""
