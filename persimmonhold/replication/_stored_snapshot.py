"""The form in which a replica stores a snapshot of its own state.

The state is compressed, so that a snapshot fits on a disk that is nearly full.
"""

import zlib
from collections.abc import Iterator
from typing import Final, final

import msgspec

from persimmonhold.consensus import Configuration, Snapshot

_COMPRESSION_LEVEL: Final = 1


@final
class _StoredSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """A snapshot with its state, compressed or plain; one of the two is set.

    Snapshots that the leader sent, and those of earlier builds, are plain.
    """

    index: int = 0
    term: int = 0
    configuration: Configuration = Configuration()
    state: bytes = b''
    compressed_state: bytes = b''


def compress_state(state: bytes, part_bytes: int) -> Iterator[bytes]:
    """Compress a state; yields after each `part_bytes` of it."""
    compressor = zlib.compressobj(_COMPRESSION_LEVEL)
    remaining = memoryview(state)
    while remaining:
        yield compressor.compress(remaining[:part_bytes])
        remaining = remaining[part_bytes:]
    yield compressor.flush()


def encode_snapshot(snapshot: Snapshot, compressed_state: bytes) -> bytes:
    """Return the content of a snapshot file."""
    return msgspec.msgpack.encode(
        _StoredSnapshot(
            index=snapshot.index,
            term=snapshot.term,
            configuration=snapshot.configuration,
            compressed_state=compressed_state,
        )
    )


def decode_snapshot(content: bytes) -> Snapshot:
    """Return the snapshot of a file; raises `ValueError` if it is invalid."""
    stored = msgspec.msgpack.decode(content, type=_StoredSnapshot)
    state = stored.state
    if stored.compressed_state:
        state = zlib.decompress(stored.compressed_state)
    return Snapshot(
        index=stored.index,
        term=stored.term,
        configuration=stored.configuration,
        state=state,
    )
