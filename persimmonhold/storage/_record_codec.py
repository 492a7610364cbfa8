"""Encoding of checksummed records in batches that are synced together.

A record is a header and a payload. The header holds a magic number, the
payload length, the offset in the file at which the record's batch begins,
and a CRC-32 over length, offset and payload.

A crash can leave any part of the last batch unwritten, in any order, but no
part of an earlier one, since each batch is synced before the next is
written. A bad record is therefore an incomplete write only if no later
record belongs to a batch that begins after it; otherwise it is damage. The
search for such a record does not rely on the length of the bad one, so a
damaged length cannot hide synced records.
"""

import struct
import zlib
from typing import Final, final

import msgspec

_MAGIC: Final = b'\xd5phr'
_FIELDS: Final = struct.Struct('>IQ')  # payload length, offset of the batch
_CHECKSUM: Final = struct.Struct('>I')
_FIELDS_OFFSET: Final = len(_MAGIC)
_CHECKSUM_OFFSET: Final = _FIELDS_OFFSET + _FIELDS.size
HEADER_BYTES: Final = _CHECKSUM_OFFSET + _CHECKSUM.size


@final
class DecodedRecords(msgspec.Struct, frozen=True, kw_only=True):
    """The valid records at the start of a file.

    `end_offset` is the offset after them. `is_damaged` tells that a record
    of a later batch follows, so the bad one is no incomplete write.
    """

    payloads: tuple[bytes, ...]
    end_offset: int
    is_damaged: bool


@final
class _Record(msgspec.Struct, frozen=True):
    payload: bytes
    batch_start: int


def encode_batch(payloads: tuple[bytes, ...], offset: int) -> bytes:
    """Encode records that are written at `offset` and synced together."""
    parts: list[bytes] = []
    for payload in payloads:
        fields = _FIELDS.pack(len(payload), offset)
        checksum = zlib.crc32(payload, zlib.crc32(fields))
        parts.extend((_MAGIC, fields, _CHECKSUM.pack(checksum), payload))
    return b''.join(parts)


def decode_records(content: bytes) -> DecodedRecords:
    """Decode a file up to its end or its first invalid record."""
    payloads: list[bytes] = []
    offset = 0
    record = _decode_record_at(content, offset)
    while record is not None:
        payloads.append(record.payload)
        offset += HEADER_BYTES + len(record.payload)
        record = _decode_record_at(content, offset)
    return DecodedRecords(
        payloads=tuple(payloads),
        end_offset=offset,
        is_damaged=_has_later_batch(content, offset),
    )


def _decode_record_at(content: bytes, offset: int) -> _Record | None:
    start = offset + HEADER_BYTES
    if start > len(content) or not content.startswith(_MAGIC, offset):
        return None
    length, batch_start = _FIELDS.unpack_from(content, offset + _FIELDS_OFFSET)
    checksum = _CHECKSUM.unpack_from(content, offset + _CHECKSUM_OFFSET)[0]
    payload = content[start : start + length]
    fields = content[offset + _FIELDS_OFFSET : offset + _CHECKSUM_OFFSET]
    if len(payload) < length:
        return None
    if zlib.crc32(payload, zlib.crc32(fields)) != checksum:
        return None
    return _Record(payload, batch_start)


def _has_later_batch(content: bytes, offset: int) -> bool:
    """Tell whether there is a valid record of a batch after `offset`."""
    found = content.find(_MAGIC, offset + 1)
    while found >= 0:
        record = _decode_record_at(content, found)
        if record is not None and record.batch_start > offset:
            return True
        found = content.find(_MAGIC, found + 1)
    return False
