"""Failure drills on local processes, run by `python -m bench.drills`."""
