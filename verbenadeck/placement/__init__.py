"""Placement of a node."""
