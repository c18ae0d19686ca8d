"""Stand-ins for the platform, its endpoints and its requesters."""
