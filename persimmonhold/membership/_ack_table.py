"""Tracks which view each VM holds, as reported to the control leader.

A change is accepted once a majority of the registered VMs holds it. It is
in force once every registered VM holds it, or two leases after it was
accepted, because by then a VM that lacks it has stopped serving.
"""

import math
from collections.abc import Collection
from typing import final

from persimmonhold.membership._proof_table import majority_size


@final
class AckTable:
    """The newest view index that each VM has acknowledged.

    `acknowledged_views` maps VM names to (incarnation, view index).
    """

    __slots__ = ('_acceptances', '_lease_s', 'acknowledged_views')

    def __init__(self, lease_s: float) -> None:
        """Create an empty table.

        `lease_s` is how long a VM may serve after its newest proof.
        """
        self.acknowledged_views: dict[str, tuple[str, int]] = {}
        self._lease_s = lease_s
        self._acceptances: list[tuple[int, float]] = []

    def record_acknowledgement(
        self,
        now: float,
        vm: str,
        incarnation: str,
        index: int,
        registered_names: Collection[str],
    ) -> None:
        """Record that an incarnation of a VM holds the view at `index`.

        Does nothing if the same incarnation has acknowledged that index or a
        higher one.
        """
        previous = self.acknowledged_views.get(vm)
        if previous and previous[0] == incarnation and previous[1] >= index:
            return
        self.acknowledged_views[vm] = (incarnation, index)
        accepted = self.accepted_index(registered_names)
        if not self._acceptances or accepted > self._acceptances[-1][0]:
            self._acceptances.append((accepted, now))
        self._discard_old_acceptances(now)

    def accepted_index(self, registered_names: Collection[str]) -> int:
        """Return the highest index that a majority of the VMs holds, or 0."""
        held = sorted(
            (
                self.acknowledged_views[name][1]
                if name in self.acknowledged_views
                else 0
                for name in registered_names
            ),
            reverse=True,
        )
        return held[majority_size(len(held)) - 1] if held else 0

    def is_accepted(
        self, index: int, registered_names: Collection[str]
    ) -> bool:
        """Return whether a majority of the VMs holds `index`.

        True if no VM is registered.
        """
        return (
            not registered_names
            or self.accepted_index(registered_names) >= index
        )

    def is_in_force(
        self,
        now: float,
        index: int,
        registered_names: Collection[str],
    ) -> bool:
        """Return whether no VM can still serve a view older than `index`."""
        if not self.lagging_vms(index, registered_names):
            return True
        horizon = now - 2 * self._lease_s
        return any(
            accepted >= index and accepted_at <= horizon
            for accepted, accepted_at in self._acceptances
        )

    def lagging_vms(
        self, index: int, registered_names: Collection[str]
    ) -> tuple[str, ...]:
        """Return the VMs whose view is older than `index`, sorted by name."""
        return tuple(
            name
            for name in sorted(registered_names)
            if self.acknowledged_views.get(name, ('', -math.inf))[1] < index
        )

    def _discard_old_acceptances(self, now: float) -> None:
        """Discard acceptances older than two leases, except the newest."""
        horizon = now - 2 * self._lease_s
        while len(self._acceptances) > 1 and self._acceptances[1][1] <= horizon:
            self._acceptances.pop(0)
