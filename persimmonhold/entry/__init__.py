"""The HTTP server that callers reach."""

from persimmonhold.entry._entry_handler import EntryHandler

__all__ = ('EntryHandler',)
