"""The HTTP server that callers reach."""

from persimmonhold.entry._entry import Entry

__all__ = ('Entry',)
