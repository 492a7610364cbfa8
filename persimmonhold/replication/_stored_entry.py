"""The form in which a replica stores the entries of its log.

Long payloads are compressed: less is written, and less has to be freed once a
snapshot covers them.
"""

import zlib
from typing import Final, final

import msgspec

from persimmonhold.consensus import EntryKind, LogEntry

_COMPRESSION_LEVEL: Final = 1
_MIN_COMPRESSED_BYTES: Final = 4096


@final
class _StoredEntry(msgspec.Struct, frozen=True, array_like=True):
    """A log entry; earlier builds store it without the last field."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b''
    is_compressed: bool = False


def encode_entry(entry: LogEntry) -> bytes:
    """Return the record of an entry."""
    if len(entry.payload) < _MIN_COMPRESSED_BYTES:
        return msgspec.msgpack.encode(entry)
    return msgspec.msgpack.encode(
        _StoredEntry(
            index=entry.index,
            term=entry.term,
            kind=entry.kind,
            payload=zlib.compress(entry.payload, _COMPRESSION_LEVEL),
            is_compressed=True,
        )
    )


def decode_entry(record: bytes) -> LogEntry:
    """Return the entry of a record; raises `ValueError` if it is invalid."""
    stored = msgspec.msgpack.decode(record, type=_StoredEntry)
    payload = stored.payload
    if stored.is_compressed:
        payload = zlib.decompress(payload)
    return LogEntry(stored.index, stored.term, stored.kind, payload)
