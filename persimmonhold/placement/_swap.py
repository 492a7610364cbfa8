"""A load that waits for evictions to free its memory."""

from typing import final

import msgspec

from persimmonhold.placement._move import Move


@final
class Swap(msgspec.Struct, frozen=True):
    """A load to plan once the evicted copies at its place are gone.

    It is dropped if they are not by `expires_at`.
    """

    load: Move
    evictions: tuple[Move, ...]
    expires_at: float
