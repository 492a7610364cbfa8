"""The leader's observations of one engine.

Invariant: an engine is clear of stale orders only when no order that ended
earlier can still take effect there. For an engine that checks fencing tokens
this holds once it has accepted a token committed after its present boot was
first seen; for one that ignores them, once the quarantine has passed since
then.
"""

from typing import Final, final

from persimmonhold.messages import HeldItem, Inventory, Order, Residency

# The interval between reads of an inventory; it doubles with each failed read.
_MIN_READ_INTERVAL_S: Final = 0.5
_MAX_READ_INTERVAL_S: Final = 4.0


@final
class EngineWatch:
    """What the leader has observed of one engine.

    `boot_seen_at` and `boot_seen_index` are the time and the log index at
    which the present boot was first seen. `held_items` holds the items of the
    last inventory by target, version and accelerator; `read_started_at` is
    the time at which the read of that inventory started. `failing_since` is
    the time of the first failed read since the last successful one, or None.
    `has_unreconciled_inventory` is true until the recorded copies agree with
    the last inventory. `last_idle_at` is the latest time
    for which the engine reported that it had no requests.
    """

    __slots__ = (
        'boot_seen_at',
        'boot_seen_index',
        'checks_fencing',
        'failing_since',
        'has_unreconciled_inventory',
        'held_items',
        'inventory',
        'last_idle_at',
        'next_read_at',
        'read_in_progress_since',
        'read_interval_s',
        'read_started_at',
        'upstream',
    )

    def __init__(self, upstream: str) -> None:
        """Create a watch for an engine that has not been read yet."""
        self.upstream = upstream
        self.checks_fencing = True
        self.inventory: Inventory | None = None
        self.held_items: dict[tuple[str, str, str], HeldItem] = {}
        self.has_unreconciled_inventory = False
        self.boot_seen_index = 0
        self.boot_seen_at: float = 0
        self.read_started_at: float = 0
        self.read_in_progress_since: float | None = None
        self.next_read_at: float = 0
        self.read_interval_s = _MIN_READ_INTERVAL_S
        self.failing_since: float | None = None
        self.last_idle_at: float = -1

    @property
    def highest_fence(self) -> int:
        """The highest fencing token known to be accepted by the engine."""
        return self.inventory.highest_fence if self.inventory else 0

    @property
    def is_reachable(self) -> bool:
        """Tell whether the last read succeeded."""
        return self.inventory is not None and self.failing_since is None

    def is_read_due(self, now: float, delay_s: float) -> bool:
        """Tell whether a read of the inventory should start now.

        It is due `delay_s` after the regular time of the next read, unless
        one is in progress.
        """
        if self.read_in_progress_since is not None:
            return False
        return now >= self.next_read_at + delay_s

    def begin_read(self, now: float) -> None:
        """Record that a read of the inventory has started."""
        self.read_in_progress_since = now

    def record_inventory(
        self, inventory: Inventory, index: int, now: float
    ) -> bool:
        """Record an inventory and schedule the next read.

        Returns whether the engine has booted since the last inventory; also
        True for the first inventory. `index` is the log index of the
        committed state at this time.
        """
        known = self.inventory
        is_new_boot = known is None or known.boot_id != inventory.boot_id
        if is_new_boot:
            self.boot_seen_index = index
            self.boot_seen_at = now
        started_at = self.read_in_progress_since
        self.read_started_at = now if started_at is None else started_at
        self.inventory = inventory
        self.has_unreconciled_inventory = True
        self.held_items = {
            (item.target, item.version, item.accelerator): item
            for item in inventory.held
        }
        self.failing_since = None
        self._schedule_next_read(_MIN_READ_INTERVAL_S, now)
        return is_new_boot

    def record_read_failure(self, now: float) -> None:
        """Record a failed read and double the interval to the next read."""
        if self.failing_since is None:
            self.failing_since = now
        interval_s = min(2 * self.read_interval_s, _MAX_READ_INTERVAL_S)
        self._schedule_next_read(interval_s, now)

    def is_clear_of_stale_orders(self, quarantine_s: float) -> bool:
        """Tell whether no ended order can still take effect on the engine."""
        if self.inventory is None:
            return False
        if self.checks_fencing:
            return self.inventory.highest_fence > self.boot_seen_index
        return self.read_started_at >= self.boot_seen_at + quarantine_s

    def find_item(self, order: Order) -> HeldItem | None:
        """Return the item that an order targets, or None if it is not held."""
        key = (order.target, order.version, order.accelerator)
        return self.held_items.get(key)

    def has_ready_item(
        self, target: str, version: str, accelerator: str
    ) -> bool:
        """Tell whether the last inventory shows an item as ready."""
        held = self.held_items.get((target, version, accelerator))
        return held is not None and held.residency is Residency.ready

    def _schedule_next_read(self, interval_s: float, now: float) -> None:
        self.read_in_progress_since = None
        self.read_interval_s = interval_s
        self.next_read_at = now + interval_s
