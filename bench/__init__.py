"""Benchmarks; each prints a table and can write JSON with its seed."""
