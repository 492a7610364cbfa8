"""What storage asks of a file system."""

import abc


class FileSystem(abc.ABC):
    """One flat directory; each call raises `OSError` where it fails.

    Content lasts after `sync`, and names after `sync_directory`; a crash
    before may lose or tear what was written.
    """

    @abc.abstractmethod
    def list_names(self) -> tuple[str, ...]:
        """Return the names of all files, sorted."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    @abc.abstractmethod
    def append(self, name: str, content: bytes) -> None:
        """Write at the end of a file, which is created where missing."""

    @abc.abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Make the content of a file last."""

    @abc.abstractmethod
    def rename(self, name: str, new_name: str) -> None:
        """Give a file another name, in place of what had it."""

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file that exists."""

    @abc.abstractmethod
    def sync_directory(self) -> None:
        """Make names last."""
