"""A decision of the planner and its reason."""

from typing import final

import msgspec


@final
class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """What was decided for a target, why, and since when it holds.

    `is_move` is False where a move was considered and not made.
    """

    at: float
    target: str
    is_move: bool
    action: str
    reason: str
