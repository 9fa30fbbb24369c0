"""Entry of a node."""
