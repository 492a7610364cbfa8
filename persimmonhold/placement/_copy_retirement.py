"""Plans withdrawals of copies that the catalogue does not want any more.

Copies of an older version leave once as many copies of the catalogued version
serve. Where memory is too short for that, surplus copies of the older version
make room one by one; the last one stays until a copy of the catalogued
version serves. Adapters leave before their base, and places without it.
"""

from collections.abc import Iterator

from persimmonhold.catalogue import AdapterEntry
from persimmonhold.messages import Copy
from persimmonhold.placement._move import Move
from persimmonhold.placement._move_kind import MoveKind
from persimmonhold.placement._place import Place
from persimmonhold.placement._plan_round import PlanRound


def plan_retirements(planned: PlanRound) -> Iterator[Move]:
    """Yield the withdrawals of unwanted copies, adapters first."""
    for copy in sorted(planned.layout.uncatalogued, key=_adapters_first):
        yield _withdraw(copy, 'is not catalogued any more')
    yield from _orphaned_adapters(planned)
    for target in planned.layout.other_versions:
        for copy in _replaced(planned, target):
            yield _withdraw(copy, 'a newer version serves')


def _replaced(planned: PlanRound, target: str) -> list[Copy]:
    layout = planned.layout
    older = layout.older_serving(target)
    serving = layout.serving.get(target, set())
    if len(serving) >= len(older):
        return older
    is_stuck = layout.holders.get(target, set()) == serving
    is_leaving = len(older) < len(layout.other_versions[target])
    if not is_stuck or is_leaving or planned.limits.loads <= 0:
        return []
    if not serving and len(older) == 1:
        return []
    older.sort(key=lambda copy: len(layout.adapters_at.get(_place(copy), ())))
    return older[:1]


def _orphaned_adapters(planned: PlanRound) -> Iterator[Move]:
    for place, names in planned.layout.adapters_at.items():
        for name in sorted(names):
            base = _base(planned, name)
            if place not in planned.layout.holders.get(base, set()):
                yield from planned.withdrawals(
                    name,
                    place,
                    'its base model does not serve there',
                )


def _base(planned: PlanRound, name: str) -> str:
    entry = planned.catalogue.find(name)
    return entry.base if isinstance(entry, AdapterEntry) else ''


def _adapters_first(copy: Copy) -> tuple[bool, str]:
    return (not copy.base, copy.target)


def _withdraw(copy: Copy, reason: str) -> Move:
    return Move(
        kind=MoveKind.withdraw,
        target=copy.target,
        version=copy.version,
        place=_place(copy),
        reason=reason,
    )


def _place(copy: Copy) -> Place:
    return Place(copy.upstream, copy.accelerator)
