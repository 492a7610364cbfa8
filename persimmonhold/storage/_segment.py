"""Append-only file of checksummed records.

Invariants: `append_records` returns after the records are synced; an
incomplete last batch is truncated; damage before it is an error that names
the file and the offset.
"""

from typing import final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.storage._file_system import FileSystem
from persimmonhold.storage._record_codec import decode_records, encode_batch


@final
class Segment:
    """One append-only file of records."""

    __slots__ = ('_files', 'name', 'size_bytes')

    def __init__(self, files: FileSystem, name: str) -> None:
        """Create the owner of a file that may not exist yet."""
        self._files = files
        self.name = name
        self.size_bytes = 0

    def read_records(
        self, *, is_last: bool
    ) -> Result[tuple[bytes, ...], Failure]:
        """Return every record; fails if the file is damaged.

        An incomplete batch at the end is truncated if this is the last
        segment of its log (`is_last`), and counts as damage otherwise.
        """
        content = self._files.read(self.name)
        decoded = decode_records(content)
        is_torn = decoded.end_offset < len(content)
        if decoded.is_damaged or (is_torn and not is_last):
            return Failed(self._damage_failure(decoded.end_offset))
        if is_torn:
            self._files.truncate(self.name, decoded.end_offset)
            self._files.sync(self.name)
        self.size_bytes = decoded.end_offset
        return Success(decoded.payloads)

    def append_records(self, payloads: tuple[bytes, ...]) -> None:
        """Append records and sync the file once."""
        batch = encode_batch(payloads, self.size_bytes)
        self._files.append(self.name, batch)
        self._files.sync(self.name)
        if self.size_bytes == 0:
            self._files.sync_directory()
        self.size_bytes += len(batch)

    def _damage_failure(self, offset: int) -> Failure:
        return Failure(
            kind=FailureKind.storage_damaged,
            step='read record file',
            peer=self.name,
            detail=f'damaged record at byte {offset}',
        )
