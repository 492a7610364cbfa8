"""What a planned move does."""

import enum
from typing import final


@final
@enum.unique
class MoveKind(enum.StrEnum):
    """The moves of the planner."""

    load = 'load'
    withdraw = 'withdraw'
