"""How entries share free slots among requests of different priority.

All entries learn of free slots at the same time. While late requests wait
somewhere for slots of an upstream, the entries leave as many slots as more
urgent requests need elsewhere, and share the others with the entries where
requests of the same priority wait. Less urgent work keeps a part.
"""

from collections.abc import Iterable, Sequence
from typing import Final, TypeAlias, final

import msgspec

from persimmonhold.fleet._waiting_class import WaitingClass

_Priority: TypeAlias = tuple[int, int]
# Less urgent work keeps this part of the dispatches while more urgent requests
# wait at this entry or elsewhere.
GUARANTEED_SHARE: Final = 0.1


@final
class SlotShare(msgspec.Struct, frozen=True):
    """An entry's part of the free slots of an upstream.

    `reserved` slots are for more urgent requests elsewhere. The entry may use
    `share` of the other free ones.
    """

    share: float
    reserved: int = 0


def find_slot_share(
    priority: _Priority,
    own: Sequence[WaitingClass],
    elsewhere: Sequence[WaitingClass],
    *,
    is_due_near: bool,
) -> SlotShare | None:
    """Return the share of an entry for its requests of a priority.

    `own` wait here and `elsewhere` at all other entries. Late requests
    elsewhere do not take precedence if the due time here `is_due_near`.
    Returns None unless requests of different priority wait, of which the most
    urgent are late, and the request is one of them or less urgent.
    """
    waiting = (*own, *elsewhere)
    first = min((one.priority for one in waiting), default=priority)
    is_late = any(one.late for one in waiting if one.priority == first)
    if not is_late or all(one.priority == first for one in waiting):
        return None
    own_count = _count(one for one in own if one.priority <= priority)
    peers = _count(one for one in elsewhere if one.priority == priority)
    reserved = sum(
        one.count - one.late * is_due_near
        for one in elsewhere
        if one.priority < priority
    )
    own_count = max(1, own_count)
    return SlotShare(own_count / (own_count + peers), reserved)


def _count(classes: Iterable[WaitingClass]) -> int:
    return sum(one.count for one in classes)
