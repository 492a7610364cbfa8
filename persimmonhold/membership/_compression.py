"""Compression of views and changes on their way to other VMs."""

import zlib
from typing import Final

import msgspec

# Routing documents shrink to a fifth; higher levels gain little.
_LEVEL: Final = 1
_MAX_DECOMPRESSED_BYTES: Final = 67_108_864


def compress(payload: bytes) -> bytes:
    """Return the payload compressed with zlib."""
    return zlib.compress(payload, _LEVEL)


def decompress(payload: bytes) -> bytes:
    """Return what was compressed.

    Raises `msgspec.DecodeError` if the payload is damaged, or if the result
    would exceed 64 MiB.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(payload, _MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    if not decompressor.eof:
        raise msgspec.DecodeError('payload is cut off or too large')
    return plain
