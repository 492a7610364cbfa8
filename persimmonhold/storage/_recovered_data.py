"""What a folder held at the start."""

from typing import final

import msgspec


@final
class RecoveredData(msgspec.Struct, frozen=True, kw_only=True):
    """The last synced state; empty bytes where there was none.

    `records` are those of all segments in the order of writing.
    """

    hard_state: bytes
    snapshot: bytes
    records: tuple[bytes, ...]
