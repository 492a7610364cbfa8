"""Checks whether all catalogued models can be resident at once.

A model and all of its adapters form one item. Items are packed in decreasing
size, first by best fit, then by worst fit. A catalogue that both heuristics
fail to pack is refused, although an exhaustive search might still find a
packing that leaves no memory free.
"""

import bisect
from typing import NamedTuple, final

from persimmonhold.catalogue import Catalogue, ModelEntry
from persimmonhold.placement._memory_ledger import collect_capacity_bytes
from persimmonhold.placement._sizes import group_adapters_by_base


@final
class _PackedItem(NamedTuple):
    size_bytes: int
    model: str


def explain_misfit(catalogue: Catalogue) -> str:
    """Return why the catalogued models do not fit into memory.

    Returns an empty string if they fit.
    """
    items = sorted(_list_packed_items(catalogue), reverse=True)
    free = sorted(collect_capacity_bytes(catalogue).values())
    needed = sum(packed.size_bytes for packed in items)
    if needed > sum(free):
        return (
            f'{len(items)} models with their adapters need {needed} bytes; '
            f'{len(free)} accelerators have {sum(free)} bytes'
        )
    misfit = _pack_items(items, list(free), is_best_fit=True)
    if misfit and _pack_items(items, list(free), is_best_fit=False):
        return misfit
    return ''


def _list_packed_items(catalogue: Catalogue) -> list[_PackedItem]:
    adapters = group_adapters_by_base(catalogue)
    return [
        _PackedItem(
            model.weight_bytes
            + model.kv_floor_bytes
            + sum(each.weight_bytes for each in adapters.get(model.name, ())),
            model.name,
        )
        for model in catalogue.entries_of_type(ModelEntry)
    ]


def _pack_items(
    items: list[_PackedItem],
    free: list[int],
    *,
    is_best_fit: bool,
) -> str:
    """Pack the items; return why one does not fit, or an empty string.

    `free` holds the free bytes of each accelerator in ascending order, and is
    changed. With `is_best_fit` an item goes where the least memory is left,
    else to the accelerator with the most free memory.
    """
    for packed in items:
        position = bisect.bisect_left(free, packed.size_bytes)
        if position == len(free):
            largest = free[-1] if free else 0
            return (
                f'model {packed.model} with its adapters needs '
                f'{packed.size_bytes} bytes on one accelerator; at most '
                f'{largest} bytes are left on any beside the other models'
            )
        chosen = free.pop(position if is_best_fit else -1)
        bisect.insort(free, chosen - packed.size_bytes)
    return ''
