"""Benchmarks; each prints one JSON line and a table."""
