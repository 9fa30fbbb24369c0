"""Commands of a node."""
