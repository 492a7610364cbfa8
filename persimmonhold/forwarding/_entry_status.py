"""What others ask of an entry: readiness and the directory."""

import abc

from persimmonhold.directory import DirectoryResponse


class EntryStatus(abc.ABC):
    """Answers about one entry and the others that it knows."""

    @property
    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Tell whether callers should come to this entry."""

    @abc.abstractmethod
    def list_entries(self, failure_domain: str) -> DirectoryResponse:
        """Return the entries for a caller in a failure domain."""
