"""A serving system for many models that share fewer accelerators."""
