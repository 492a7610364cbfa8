"""One file of checksummed records, for a log that is never compacted.

The invariants are those of `Segment`: an incomplete last batch is truncated;
damage before it is an error that names the file and the offset.
"""

from pathlib import Path
from types import TracebackType
from typing import Self, final

from returns.result import Result, Success

from persimmonhold.failures import Failure
from persimmonhold.storage._disk_directory import DiskDirectory
from persimmonhold.storage._segment import Segment


@final
class RecordFile:
    """Owns the open file of records."""

    __slots__ = ('_directory', '_segment', 'path')

    def __init__(self, path: Path) -> None:
        """Create the owner of a file that may not exist yet."""
        self.path = path
        self._directory = DiskDirectory(path.parent)
        self._segment = Segment(self._directory, path.name)

    def __enter__(self) -> Self:
        """Create the directory; raises `OSError` if that fails."""
        self._directory.__enter__()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the file."""
        self._directory.__exit__(exc_type, exc, traceback)

    def read_records(self) -> Result[tuple[bytes, ...], Failure]:
        """Return every record; truncates an incomplete last batch."""
        if not self.path.exists():
            return Success(())
        return self._segment.read_records(is_last=True)

    def append_records(self, payloads: tuple[bytes, ...]) -> None:
        """Append records and sync the file once."""
        self._segment.append_records(payloads)
