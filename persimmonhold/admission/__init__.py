"""Queues, limits, deadlines and refusals."""
