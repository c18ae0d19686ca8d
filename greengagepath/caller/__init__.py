"""Caller's library: one call, its flows and its retries."""
