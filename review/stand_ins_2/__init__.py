"""Stand-ins of the second review: store, platform, endpoints, requesters."""
