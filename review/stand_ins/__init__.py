"""Stand-ins for the platform, its clients and its servers."""
