"""One planned change of placement."""

from typing import final

import msgspec

from persimmonhold.placement._move_kind import MoveKind
from persimmonhold.placement._place import Place


@final
class Move(msgspec.Struct, frozen=True, kw_only=True):
    """The load of a copy to a place, or its withdrawal from there.

    `memory_bytes` is what a load needs. `base` is the base model of an
    adapter to load, and empty otherwise.
    """

    kind: MoveKind
    target: str
    version: str
    place: Place
    reason: str
    memory_bytes: int = 0
    base: str = ''
