"""Plans adapter loads at every accelerator that serves their base model.

Adapters without any copy are planned first. Memory for all adapters of a
model is reserved as soon as a copy of the model is ordered; where memory is
short nevertheless, as many adapters as fit are loaded.
"""

from collections.abc import Iterator

from persimmonhold.catalogue import AdapterEntry
from persimmonhold.placement._item_key import ItemKey
from persimmonhold.placement._move import Move
from persimmonhold.placement._move_kind import MoveKind
from persimmonhold.placement._place import Place
from persimmonhold.placement._plan_context import PlanContext


def plan_adapters(context: PlanContext) -> None:
    """Plan loads of adapters that are missing beside their base model.

    Where the base model does not serve yet, memory for the adapter is reserved
    but no load is planned.
    """
    missing = list(_find_missing_adapters(context))
    holders = context.layout.holders
    missing.sort(key=lambda found: bool(holders.get(found[0].name)))
    for adapter, place in missing:
        key = ItemKey(adapter.name, adapter.version)
        if context.ledger.has_item(place, key):
            continue
        if context.ledger.free_bytes(place) < adapter.weight_bytes:
            continue
        if place in context.layout.serving.get(adapter.base, ()):
            move = _create_load_move(adapter, place)
            context.moves.append(move)
            context.reserve_load(move)
        else:
            context.ledger.reserve(place, key, adapter.weight_bytes)


def _find_missing_adapters(
    context: PlanContext,
) -> Iterator[tuple[AdapterEntry, Place]]:
    layout = context.layout
    no_adapters: set[str] = set()
    for base, adapters in context.adapters_by_base.items():
        names = {adapter.name for adapter in adapters}
        for place in sorted(layout.holders.get(base, ())):
            absent = names - layout.adapters_at.get(place, no_adapters)
            for adapter in adapters if absent else ():
                if adapter.name in absent:
                    yield adapter, place


def _create_load_move(adapter: AdapterEntry, place: Place) -> Move:
    return Move(
        kind=MoveKind.load,
        target=adapter.name,
        version=adapter.version,
        place=place,
        reason='base model serves there without this adapter',
        memory_bytes=adapter.weight_bytes,
        base=adapter.base,
    )
