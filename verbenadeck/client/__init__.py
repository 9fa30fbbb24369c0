"""Client of a node."""
