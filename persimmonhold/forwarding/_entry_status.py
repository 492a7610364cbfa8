"""Readiness and directory of an entry, for a platform's handlers."""

import abc

from persimmonhold.directory import DirectoryResponse


class EntryStatus(abc.ABC):
    """Tells whether an entry is ready, and which entries callers may use."""

    @property
    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Tell whether callers should use this entry."""

    @abc.abstractmethod
    def list_entries(self, failure_domain: str) -> DirectoryResponse:
        """Return the entries that a caller in a failure domain may use."""
