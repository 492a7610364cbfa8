"""One planner decision with its reason."""

from typing import final

import msgspec


@final
class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """What the planner decided for a target, when and why.

    `at` is the time in seconds of the leader's monotonic clock. `is_move` is
    False if a move was needed but not made.
    """

    at: float
    target: str
    is_move: bool
    action: str
    reason: str
