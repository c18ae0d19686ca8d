"""Stand-ins for the platform, the fabric and back ends; load and demo."""
