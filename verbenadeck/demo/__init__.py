"""Demo of a node."""
