"""Logs of a node."""
