"""Failure drills with plain processes: `python -m bench.drills`."""
