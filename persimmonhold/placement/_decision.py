"""One planner decision with its reason."""

from typing import final

import msgspec


@final
class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """The action chosen for a target, its reason and its time.

    `at` is in seconds of the leader's monotonic clock. `is_move` is False if
    a move was needed but not made.
    """

    at: float
    target: str
    is_move: bool
    action: str
    reason: str
