"""Randomized soak of planned stops, run by `python -m bench.soak`."""
