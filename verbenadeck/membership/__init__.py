"""Membership of a node."""
