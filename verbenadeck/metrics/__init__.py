"""Metrics of a node."""
