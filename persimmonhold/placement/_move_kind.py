"""Kinds of planned moves."""

import enum
from typing import final


@final
@enum.unique
class MoveKind(enum.StrEnum):
    """The kind of a move: it loads a copy, or withdraws one."""

    load = 'load'
    withdraw = 'withdraw'
