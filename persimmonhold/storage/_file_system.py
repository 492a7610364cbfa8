"""Interface of the file system that storage uses."""

import abc


class FileSystem(abc.ABC):
    """One flat directory; each method raises `OSError` on failure.

    Content is durable after `sync`, and names after `sync_directory`; a
    crash before that can lose writes or leave them incomplete.
    """

    @abc.abstractmethod
    def list_names(self) -> tuple[str, ...]:
        """Return the names of all files, sorted."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    @abc.abstractmethod
    def append(self, name: str, content: bytes) -> None:
        """Append to a file; creates it if it does not exist."""

    @abc.abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    @abc.abstractmethod
    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing a file that has the new name."""

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Remove an existing file."""

    def remove_later(self, name: str) -> None:
        """Remove an existing file whose name is not used again.

        It may be removed in the background, and is left if that fails.
        """
        self.remove(name)

    @abc.abstractmethod
    def sync_directory(self) -> None:
        """Make file names durable."""
