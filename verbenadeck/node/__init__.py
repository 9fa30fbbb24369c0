"""Node of a node."""
