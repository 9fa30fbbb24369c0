"""Shared pytest settings."""
