"""A serving system for many models on fewer accelerators."""
