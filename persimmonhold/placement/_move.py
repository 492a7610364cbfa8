"""One planned change of placement."""

from typing import final

import msgspec

from persimmonhold.placement._move_kind import MoveKind
from persimmonhold.placement._place import Place


@final
class Move(msgspec.Struct, frozen=True, kw_only=True):
    """A load to a place, or the withdrawal of a copy from it."""

    kind: MoveKind
    target: str
    version: str
    place: Place
    reason: str
    memory_bytes: int = 0
    base: str = ''
