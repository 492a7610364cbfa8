"""Data that a replica recovers from its files."""

from typing import final

import msgspec


@final
class RecoveredData(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the files at the start; empty bytes for a missing file.

    `records` are those of all segments in the order of writing.
    """

    hard_state: bytes
    snapshot: bytes
    records: tuple[bytes, ...]
