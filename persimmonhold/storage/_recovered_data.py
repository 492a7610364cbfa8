"""Data that a replica recovers from its files."""

from typing import final

import msgspec


@final
class RecoveredData(msgspec.Struct, frozen=True, kw_only=True):
    """What a replica finds in its files when it starts.

    `hard_state` and `snapshot` are empty if the file does not exist.

    `records` are those of all segments in the order of writing.
    """

    hard_state: bytes
    snapshot: bytes
    records: tuple[bytes, ...]
