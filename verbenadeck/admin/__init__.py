"""Admin of a node."""
