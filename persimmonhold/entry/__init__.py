"""The entry role: an HTTP server that routes callers to upstreams."""

from persimmonhold.entry._entry import Entry

__all__ = ('Entry',)
