"""Plans withdrawals of copies whose version is no longer in the catalogue.

Copies of an older version are withdrawn once as many copies of the catalogued
version serve. Where memory is too short for that, surplus copies of the older
version are withdrawn one at a time; the last one stays until a copy of the
catalogued version serves. Adapters are withdrawn before their base model, and
wherever their base model is absent.
"""

from collections.abc import Iterator

from persimmonhold.catalogue import AdapterEntry
from persimmonhold.messages import Copy
from persimmonhold.placement._move import Move
from persimmonhold.placement._move_kind import MoveKind
from persimmonhold.placement._place import Place
from persimmonhold.placement._plan_context import PlanContext


def plan_retirements(context: PlanContext) -> Iterator[Move]:
    """Yield a withdrawal for each copy that is no longer wanted.

    First come the copies of targets that are not in the catalogue, adapters
    before models, then adapters without their base model, then copies of older
    versions.
    """
    for copy in sorted(
        context.layout.uncatalogued_copies, key=_retirement_sort_key
    ):
        yield _create_withdrawal(copy, 'no longer in the catalogue')
    yield from _withdraw_orphaned_adapters(context)
    for target in context.layout.other_version_copies:
        for copy in _find_removable_older_copies(context, target):
            yield _create_withdrawal(copy, 'a newer version serves')


def _find_removable_older_copies(
    context: PlanContext, target: str
) -> list[Copy]:
    layout = context.layout
    older = layout.serving_copies_of_other_versions(target)
    serving = layout.serving.get(target, set())
    if len(serving) >= len(older):
        return older
    is_every_copy_serving = layout.holders.get(target, set()) == serving
    has_withdrawing_copy = len(older) < len(layout.other_version_copies[target])
    if (
        not is_every_copy_serving
        or has_withdrawing_copy
        or context.limits.remaining_loads <= 0
    ):
        return []
    if not serving and len(older) == 1:
        return []
    older.sort(
        key=lambda copy: len(layout.adapters_at.get(_place_of(copy), ()))
    )
    return older[:1]


def _withdraw_orphaned_adapters(context: PlanContext) -> Iterator[Move]:
    for place, names in context.layout.adapters_at.items():
        for name in sorted(names):
            base = _find_base_name(context, name)
            if place not in context.layout.holders.get(base, set()):
                yield from context.create_withdrawals(
                    name,
                    place,
                    'its base model does not serve there',
                )


def _find_base_name(context: PlanContext, name: str) -> str:
    entry = context.catalogue.find(name)
    return entry.base if isinstance(entry, AdapterEntry) else ''


def _retirement_sort_key(copy: Copy) -> tuple[bool, str]:
    return (not copy.base, copy.target)


def _create_withdrawal(copy: Copy, reason: str) -> Move:
    return Move(
        kind=MoveKind.withdraw,
        target=copy.target,
        version=copy.version,
        place=_place_of(copy),
        reason=reason,
    )


def _place_of(copy: Copy) -> Place:
    return Place(copy.upstream, copy.accelerator)
