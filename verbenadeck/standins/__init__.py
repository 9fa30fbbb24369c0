"""Stand-ins for the platform: the log and an upstream."""
