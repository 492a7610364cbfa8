"""A file of checksummed records that is only appended to.

Each record is a header (length and CRC-32 of the payload, big-endian) and
the payload. Invariants: `append` returns after the records are synced; a
torn last record is cut; damage before the last record is an error that
names the file and the offset.
"""

import os
import struct
import zlib
from pathlib import Path
from types import TracebackType
from typing import BinaryIO, Final, Self, final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind

_HEADER: Final = struct.Struct('>II')


@final
class RecordFile:
    """Owns the open file."""

    __slots__ = ('_file', 'path')

    def __init__(self, path: Path) -> None:
        """Create the owner of a file that may not exist yet."""
        self.path = path
        self._file: BinaryIO | None = None

    def __enter__(self) -> Self:
        """Open the file; raises `OSError` where it cannot be written."""
        is_new = not self.path.exists()
        self._file = self.path.open('ab+')
        if is_new:
            sync_directory(self.path.parent)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()

    def read(self) -> Result[tuple[bytes, ...], Failure]:
        """Return every record, after a torn last one was cut."""
        assert self._file is not None
        self._file.seek(0)
        text = self._file.read()
        records: list[bytes] = []
        offset = 0
        while offset < len(text):
            payload = _payload_at(text, offset)
            if payload is None:
                if _may_be_torn(text, offset):
                    self._cut(offset)
                    break
                return Failed(self._damaged(offset))
            records.append(payload)
            offset += _HEADER.size + len(payload)
        return Success(tuple(records))

    def append(self, payloads: tuple[bytes, ...]) -> None:
        """Append records and sync the file once."""
        assert self._file is not None
        for payload in payloads:
            header = _HEADER.pack(len(payload), zlib.crc32(payload))
            self._file.write(header)
            self._file.write(payload)
        self._file.flush()
        os.fdatasync(self._file.fileno())

    def _cut(self, offset: int) -> None:
        assert self._file is not None
        self._file.truncate(offset)
        os.fsync(self._file.fileno())

    def _damaged(self, offset: int) -> Failure:
        return Failure(
            kind=FailureKind.storage_damaged,
            step='read record file',
            peer=str(self.path),
            detail=f'damaged record at byte {offset}',
        )


def sync_directory(directory: Path) -> None:
    """Make a file's creation or renaming last."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _payload_at(text: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(text):
        return None
    length, checksum = _HEADER.unpack_from(text, offset)
    start = offset + _HEADER.size
    payload = text[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _may_be_torn(text: bytes, offset: int) -> bool:
    """Tell whether the bad record reaches the end of the file."""
    if offset + _HEADER.size > len(text):
        return True
    length, _ = _HEADER.unpack_from(text, offset)
    return offset + _HEADER.size + int(length) >= len(text)
