"""Updates the memory ledger incrementally.

Invariant: the ledger equals one built from the whole committed state and all
last inventories; the reservations of an upstream are rebuilt when any of its
copies, its orders or its inventory changes.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Final, TypeVar, final

from persimmonhold.catalogue import Catalogue
from persimmonhold.messages import Copy, Inventory, Order
from persimmonhold.placement._copy_key import CopyKey
from persimmonhold.placement._engine_watch import EngineWatch
from persimmonhold.placement._memory_ledger import (
    MemoryLedger,
    collect_capacity_bytes,
)
from persimmonhold.placement._place import Place
from persimmonhold.placement._placement_state import PlacementState

_KeyT = TypeVar('_KeyT')
_ItemT = TypeVar('_ItemT')
_EMPTY_STATE: Final = PlacementState(-1, Catalogue(), {}, {})


@final
class LedgerCache:
    """The memory ledger of one leadership, updated upstream by upstream.

    `copies_by_upstream` holds the recorded copies of each upstream.
    `stale_upstreams` are the upstreams whose reservations in the ledger are
    out of date; `fork_ledger` recalculates them.
    """

    __slots__ = (
        '_inventories',
        '_ledger',
        '_places_by_upstream',
        '_state',
        'copies_by_upstream',
        'stale_upstreams',
    )

    def __init__(self) -> None:
        """Create the ledger of a system without upstreams."""
        self.copies_by_upstream: dict[str, dict[CopyKey, Copy]] = {}
        self.stale_upstreams: set[str] = set()
        self._inventories: dict[str, Inventory] = {}
        self._ledger = MemoryLedger({})
        self._places_by_upstream: dict[str, list[Place]] = {}
        self._state = _EMPTY_STATE

    def apply_state(self, state: PlacementState) -> None:
        """Update the recorded copies and mark changed upstreams as stale.

        An upstream becomes stale if its copies or orders changed. A new
        catalogue revision makes all upstreams stale, since the memory of
        their accelerators may have changed.
        """
        if state.catalogue.revision != self._state.catalogue.revision:
            self._rebuild_ledger(state.catalogue)
        former = self._state
        for copy in _find_differences(former.copies, state.copies):
            self.stale_upstreams.add(copy.upstream)
            key = (copy.target, copy.version, copy.upstream, copy.accelerator)
            held = self.copies_by_upstream.setdefault(copy.upstream, {})
            present = state.copies.get(key)
            if present is None:
                held.pop(key, None)
            else:
                held[key] = present
        for order in _find_differences(former.orders, state.orders):
            self.stale_upstreams.add(order.upstream)
        self._state = state

    def fork_ledger(
        self,
        orders: Mapping[str, Iterable[Order]],
        watches: Mapping[str, EngineWatch],
    ) -> MemoryLedger:
        """Return a fork of the ledger after bringing it up to date.

        The reservations of stale upstreams are rebuilt from their copies,
        their `orders` and the last inventory in `watches`.
        """
        for watch in watches.values():
            known = self._inventories.get(watch.upstream)
            if known is not watch.inventory and watch.inventory is not None:
                self._inventories[watch.upstream] = watch.inventory
                if known is None or known.held != watch.inventory.held:
                    self.stale_upstreams.add(watch.upstream)
        for upstream in self.stale_upstreams:
            self._rebuild_reservations(upstream, orders.get(upstream, ()))
        self.stale_upstreams.clear()
        return self._ledger.fork()

    def _rebuild_reservations(
        self, upstream: str, orders: Iterable[Order]
    ) -> None:
        for place in self._places_by_upstream.get(upstream, ()):
            self._ledger.clear_place(place)
        for copy in self.copies_by_upstream.get(upstream, {}).values():
            self._ledger.add_copy(copy)
        for order in orders:
            self._ledger.add_order(order)
        inventory = self._inventories.get(upstream)
        if inventory is not None:
            self._ledger.add_inventory(upstream, inventory)

    def _rebuild_ledger(self, catalogue: Catalogue) -> None:
        capacity_bytes = collect_capacity_bytes(catalogue)
        self._ledger = MemoryLedger(capacity_bytes)
        self._places_by_upstream = {}
        for place in capacity_bytes:
            self._places_by_upstream.setdefault(place.upstream, []).append(
                place
            )
        self.stale_upstreams.update(self._places_by_upstream)
        self._inventories = {
            upstream: inventory
            for upstream, inventory in self._inventories.items()
            if upstream in self._places_by_upstream
        }


def _find_differences(
    former: Mapping[_KeyT, _ItemT],
    present: Mapping[_KeyT, _ItemT],
) -> Iterator[_ItemT]:
    """Yield the items that were added, replaced or removed.

    Items are compared by identity. For a replaced item only the new one is
    yielded.
    """
    if former is present:
        return
    for key, item in present.items():
        if former.get(key) is not item:
            yield item
    for gone in former.keys() - present.keys():
        yield former[gone]
