"""A load that waits for memory."""

from typing import final

import msgspec

from persimmonhold.placement._move import Move


@final
class Swap(msgspec.Struct, frozen=True):
    """The load to make once the evicted copies of its place are gone."""

    load: Move
    evictions: tuple[Move, ...]
    expires_at: float
