"""Worst-case memory reservations of accelerators.

Invariant: an item stays reserved as long as a copy, an order that has not
ended, or an inventory names it. If several name the same item, the
largest size counts once, since an accelerator holds an item at most once.
"""

from collections.abc import Iterable, Mapping
from typing import Self, final

from persimmonhold.catalogue import Catalogue, UpstreamEntry
from persimmonhold.messages import Copy, Inventory, Order, OrderKind
from persimmonhold.placement._item_key import ItemKey
from persimmonhold.placement._place import Place


@final
class MemoryLedger:
    """Capacity and worst-case reservation of every accelerator, in bytes.

    A fork is copy-on-write: an accelerator for which the fork has made no
    reservation is looked up in the ledger that it was forked from.
    """

    __slots__ = ('_items', '_parent', '_reserved', 'capacity_bytes')

    def __init__(
        self,
        capacity_bytes: Mapping[Place, int],
        parent: Self | None = None,
    ) -> None:
        """Create a ledger of empty accelerators, or a fork of `parent`."""
        self.capacity_bytes = capacity_bytes
        self._parent = parent
        self._items: dict[Place, dict[ItemKey, int]] = {}
        self._reserved: dict[Place, int] = {}

    @classmethod
    def from_state(
        cls,
        catalogue: Catalogue,
        copies: Iterable[Copy],
        orders: Iterable[Order],
        inventories: Mapping[str, Inventory],
    ) -> Self:
        """Build the ledger from committed state and last inventories."""
        ledger = cls(collect_capacity_bytes(catalogue))
        for copy in copies:
            ledger.add_copy(copy)
        for order in orders:
            ledger.add_order(order)
        for upstream, inventory in inventories.items():
            ledger.add_inventory(upstream, inventory)
        return ledger

    def fork(self) -> 'MemoryLedger':
        """Return a fork; reservations made in it do not affect this ledger."""
        return MemoryLedger(self.capacity_bytes, self)

    def clear_place(self, place: Place) -> None:
        """Remove all reservations made in this ledger for an accelerator."""
        self._items.pop(place, None)
        self._reserved.pop(place, None)

    def add_copy(self, copy: Copy) -> None:
        """Reserve the memory of a recorded copy, whatever its state."""
        self.reserve(
            Place(copy.upstream, copy.accelerator),
            ItemKey(copy.target, copy.version),
            copy.memory_bytes,
        )

    def add_order(self, order: Order) -> None:
        """Reserve what an order may allocate; an unload allocates nothing."""
        if order.kind is OrderKind.unload:
            return
        key = ItemKey(order.target, order.version)
        if order.kind is not OrderKind.load:
            # A KV buffer is not a copy of the model: it needs its own memory.
            key = ItemKey(f'{order.target} {order.kind}', str(order.fence))
        place = Place(order.upstream, order.accelerator)
        self.reserve(place, key, order.memory_bytes)

    def add_inventory(self, upstream: str, inventory: Inventory) -> None:
        """Reserve all items that an engine holds, recorded or not."""
        for held in inventory.held:
            self.reserve(
                Place(upstream, held.accelerator),
                ItemKey(held.target, held.version),
                held.memory_bytes,
            )

    def reserve(self, place: Place, key: ItemKey, size_bytes: int) -> None:
        """Reserve memory for an item, at its largest known size."""
        items = self._items.get(place)
        if items is None:
            items = dict(self.items_at(place))
            self._reserved[place] = self.reserved_bytes(place)
            self._items[place] = items
        known = items.get(key)
        if known is None:
            items[key] = size_bytes
            self._reserved[place] += size_bytes
        elif size_bytes > known:
            items[key] = size_bytes
            self._reserved[place] += size_bytes - known

    def has_item(self, place: Place, key: ItemKey) -> bool:
        """Tell whether an item is reserved on an accelerator."""
        return key in self.items_at(place)

    def items_at(self, place: Place) -> Mapping[ItemKey, int]:
        """Return the reserved items of an accelerator and their bytes."""
        items = self._items.get(place)
        if items is None:
            return self._parent.items_at(place) if self._parent else {}
        return items

    def reserved_bytes(self, place: Place) -> int:
        """Return the worst-case memory use of an accelerator."""
        reserved = self._reserved.get(place)
        if reserved is None:
            return self._parent.reserved_bytes(place) if self._parent else 0
        return reserved

    def free_bytes(self, place: Place) -> int:
        """Return the unreserved bytes of an accelerator.

        Negative if more is reserved than its capacity, which may have been
        reduced.
        """
        capacity = self.capacity_bytes.get(place, 0)
        return capacity - self.reserved_bytes(place)


def collect_capacity_bytes(catalogue: Catalogue) -> dict[Place, int]:
    """Return the memory of every catalogued accelerator, in bytes."""
    return {
        Place(upstream.name, accelerator.name): accelerator.memory_bytes
        for upstream in catalogue.entries_of_type(UpstreamEntry)
        for accelerator in upstream.accelerators
    }
