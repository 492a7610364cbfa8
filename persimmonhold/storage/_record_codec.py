"""Checksummed records in batches that were synced together.

A record is a header and a payload. The header holds a magic number, the
payload length, the offset in the file at which the record's batch begins
and a CRC-32 over length, offset and payload.

A crash can leave any part of the last batch unwritten, in any order, and
nothing of an earlier one, since each batch is synced before the next is
written. A bad record is therefore torn only if no later record belongs to a
batch that begins after it. The search for such a record does not trust the
length of the bad one, so a damaged length cannot hide synced records.
"""

import struct
import zlib
from typing import Final, final

import msgspec

_MAGIC: Final = b'\xd5phr'
_FIELDS: Final = struct.Struct('>IQ')
_CHECKSUM: Final = struct.Struct('>I')
_FIELDS_AT: Final = len(_MAGIC)
_CHECKSUM_AT: Final = _FIELDS_AT + _FIELDS.size
HEADER_BYTES: Final = _CHECKSUM_AT + _CHECKSUM.size


@final
class DecodedRecords(msgspec.Struct, frozen=True, kw_only=True):
    """The good records, where they end, and whether damage follows."""

    payloads: tuple[bytes, ...]
    end: int
    is_damaged: bool


@final
class _Record(msgspec.Struct, frozen=True):
    payload: bytes
    batch_start: int


def encode_batch(payloads: tuple[bytes, ...], offset: int) -> bytes:
    """Encode records that are written at an offset and synced at once."""
    parts: list[bytes] = []
    for payload in payloads:
        fields = _FIELDS.pack(len(payload), offset)
        checksum = zlib.crc32(payload, zlib.crc32(fields))
        parts.extend((_MAGIC, fields, _CHECKSUM.pack(checksum), payload))
    return b''.join(parts)


def decode_records(text: bytes) -> DecodedRecords:
    """Decode a file up to its end or its first bad record."""
    payloads: list[bytes] = []
    offset = 0
    record = _record_at(text, offset)
    while record is not None:
        payloads.append(record.payload)
        offset += HEADER_BYTES + len(record.payload)
        record = _record_at(text, offset)
    return DecodedRecords(
        payloads=tuple(payloads),
        end=offset,
        is_damaged=_has_later_batch(text, offset),
    )


def _record_at(text: bytes, offset: int) -> _Record | None:
    start = offset + HEADER_BYTES
    if start > len(text) or not text.startswith(_MAGIC, offset):
        return None
    length, batch_start = _FIELDS.unpack_from(text, offset + _FIELDS_AT)
    checksum = _CHECKSUM.unpack_from(text, offset + _CHECKSUM_AT)[0]
    payload = text[start : start + length]
    fields = text[offset + _FIELDS_AT : offset + _CHECKSUM_AT]
    if len(payload) < length:
        return None
    if zlib.crc32(payload, zlib.crc32(fields)) != checksum:
        return None
    return _Record(payload, batch_start)


def _has_later_batch(text: bytes, offset: int) -> bool:
    """Tell whether a batch that begins after an offset was written."""
    found = text.find(_MAGIC, offset + 1)
    while found >= 0:
        record = _record_at(text, found)
        if record is not None and record.batch_start > offset:
            return True
        found = text.find(_MAGIC, found + 1)
    return False
