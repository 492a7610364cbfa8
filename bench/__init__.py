"""Measurements; each prints a table and writes JSON with its seed."""
