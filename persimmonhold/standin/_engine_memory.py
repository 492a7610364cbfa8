"""The memory of a stand-in engine's accelerators.

Overcommits are counted but not prevented, so that tests can detect them.
"""

from typing import final

from persimmonhold.messages import (
    HeldItem,
    Inventory,
    Order,
    OrderAnswer,
    OrderKind,
    OrderOutcome,
    Residency,
)


@final
class EngineMemory:
    """The items that each accelerator holds, and counts of executed orders.

    An item is a version of a model or adapter; `held_items` has it by
    accelerator, name and version. `loads` and `unloads` count completed
    orders, those of adapters included. `highest_fence` is the highest fencing
    token of an accepted order.
    """

    __slots__ = (
        'adapter_loads',
        'adapter_unloads',
        'boot_id',
        'capacity_bytes',
        'checks_fencing',
        'held_items',
        'highest_fence',
        'loads',
        'orders_refused',
        'overcommitted',
        'peak_bytes',
        'unloads',
    )

    def __init__(self, boot_id: str, capacity_bytes: dict[str, int]) -> None:
        """Create the memory of an engine that holds no models.

        `capacity_bytes` maps the name of each accelerator to its memory size.
        """
        self.boot_id = boot_id
        self.capacity_bytes = capacity_bytes
        self.checks_fencing = True
        self.highest_fence = 0
        self.held_items: dict[tuple[str, str, str], HeldItem] = {}
        self.loads = 0
        self.unloads = 0
        self.adapter_loads = 0
        self.adapter_unloads = 0
        self.orders_refused = 0
        self.overcommitted = 0
        self.peak_bytes = dict.fromkeys(capacity_bytes, 0)

    def answer_order(self, order: Order) -> OrderAnswer:
        """Accept or refuse an order, without executing it.

        A resent order is accepted too; `begin_order` then finds no work.
        """
        outcome = self._evaluate_order(order)
        if outcome is OrderOutcome.accepted:
            self.highest_fence = max(self.highest_fence, order.fence)
        else:
            self.orders_refused += 1
        return OrderAnswer(fence=order.fence, outcome=outcome)

    def begin_order(self, order: Order) -> bool:
        """Reserve memory for a load; return whether there is work to do."""
        key = (order.accelerator, order.target, order.version)
        held_item = self.held_items.get(key)
        if order.kind is OrderKind.unload:
            return held_item is not None
        if held_item is not None:
            return False
        self.held_items[key] = HeldItem(
            accelerator=order.accelerator,
            target=order.target,
            version=order.version,
            memory_bytes=order.memory_bytes,
            residency=Residency.loading,
            fence=order.fence,
        )
        self._update_usage(order.accelerator)
        return True

    def complete_order(self, order: Order) -> None:
        """Complete a load or an unload that has begun.

        A load has no effect if its item was unloaded meanwhile.
        """
        key = (order.accelerator, order.target, order.version)
        if order.kind is OrderKind.unload:
            self.unloads += 1
            self.adapter_unloads += bool(order.base)
            self.held_items.pop(key, None)
            return
        held_item = self.held_items.get(key)
        if held_item is None:
            return
        self.loads += 1
        self.adapter_loads += bool(order.base)
        self.held_items[key] = HeldItem(
            accelerator=held_item.accelerator,
            target=held_item.target,
            version=held_item.version,
            memory_bytes=held_item.memory_bytes,
            residency=Residency.ready,
            fence=order.fence,
        )

    def is_serving(self, target: str) -> bool:
        """Return whether any version of a model or adapter is ready."""
        return any(
            held.target == target and held.residency is Residency.ready
            for held in self.held_items.values()
        )

    def held_bytes(self, accelerator: str) -> int:
        """Return the memory used on an accelerator, with loads in progress."""
        return sum(
            held.memory_bytes
            for held in self.held_items.values()
            if held.accelerator == accelerator
        )

    def build_inventory(self) -> Inventory:
        """Return the held items, the boot id and the highest fencing token."""
        return Inventory(
            boot_id=self.boot_id,
            highest_fence=self.highest_fence,
            held=tuple(self.held_items.values()),
        )

    def _evaluate_order(self, order: Order) -> OrderOutcome:
        if self.checks_fencing and order.fence < self.highest_fence:
            return OrderOutcome.stale_fence
        if order.accelerator not in self.capacity_bytes:
            return OrderOutcome.unknown_target
        return OrderOutcome.accepted

    def _update_usage(self, accelerator: str) -> None:
        """Update the peak and the overcommits of an accelerator."""
        held = self.held_bytes(accelerator)
        peak = max(self.peak_bytes[accelerator], held)
        self.peak_bytes[accelerator] = peak
        if held > self.capacity_bytes[accelerator]:
            self.overcommitted += 1
