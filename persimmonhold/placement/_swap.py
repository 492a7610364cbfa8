"""A load that waits for evictions to free its memory."""

from typing import final

import msgspec

from persimmonhold.placement._move import Move


@final
class Swap(msgspec.Struct, frozen=True):
    """A load to plan once the evicted copies at its place are gone.

    The swap is dropped if the copies are not gone by `expires_at`, in seconds
    of the leader's monotonic clock.
    """

    load: Move
    evictions: tuple[Move, ...]
    expires_at: float
