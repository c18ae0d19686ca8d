"""Datagrams between callers, balancers and agents."""
