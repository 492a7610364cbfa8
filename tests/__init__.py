"""Tests of persimmonhold."""
