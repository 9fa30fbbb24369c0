"""Stand-ins of clients, instances and the platform for review cases."""
