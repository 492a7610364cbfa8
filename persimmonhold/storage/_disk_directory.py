"""Directory in the file system of the operating system."""

import os
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import TracebackType
from typing import Final, Self, final

from persimmonhold.observability import LogLevel, log_event
from persimmonhold.storage._file_system import FileSystem

_OPEN_FLAGS: Final = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
_FILE_MODE: Final = 0o600


@final
class DiskDirectory(FileSystem):
    """Owns the open files of one directory."""

    __slots__ = ('_descriptors', '_remover', 'path')

    def __init__(self, path: Path) -> None:
        """Create the owner; entering the context creates the directory."""
        self.path = path
        self._descriptors: dict[str, int] = {}
        # Started by the first removal.
        self._remover = ThreadPoolExecutor(max_workers=1)

    def __enter__(self) -> Self:
        """Create the directory if it does not exist."""
        self.path.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close every open file."""
        self._remover.shutdown()
        for name in tuple(self._descriptors):
            self._close(name)

    def list_names(self) -> tuple[str, ...]:
        """Return the names of all files, sorted."""
        return tuple(
            sorted(one.name for one in self.path.iterdir() if one.is_file()),
        )

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self.path / name).read_bytes()

    def append(self, name: str, content: bytes) -> None:
        """Append to a file; creates it if it does not exist."""
        descriptor = self._open(name)
        remaining = memoryview(content)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes."""
        os.ftruncate(self._open(name), size)

    def sync(self, name: str) -> None:
        """Make the content and the size of a file durable."""
        os.fdatasync(self._open(name))

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing the target; closes both if open."""
        self._close(name)
        self._close(new_name)
        (self.path / name).replace(self.path / new_name)

    def remove(self, name: str) -> None:
        """Remove a file, which may be gone after `remove_later`."""
        self._close(name)
        (self.path / name).unlink(missing_ok=True)

    def remove_later(self, name: str) -> None:
        """Remove a file in the background.

        Some file systems take a tenth of a second to free a large file.
        """
        self._close(name)
        self._remover.submit(self._remove_unused, name)

    def sync_directory(self) -> None:
        """Make file names durable."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _remove_unused(self, name: str) -> None:
        try:
            (self.path / name).unlink(missing_ok=True)
        except OSError as error:
            log_event(
                'file_not_removed',
                LogLevel.warning,
                name=name,
                error=str(error),
            )

    def _open(self, name: str) -> int:
        if name not in self._descriptors:
            path = self.path / name
            self._descriptors[name] = os.open(path, _OPEN_FLAGS, _FILE_MODE)
        return self._descriptors[name]

    def _close(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
