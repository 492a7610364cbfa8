"""Chooses the entries to which an entry without upstreams relays requests."""

import random
from collections.abc import Collection, Iterable
from typing import Final, final

from persimmonhold.messages import VmRecord

# An entry that could not take a relayed request is not asked for this long.
_PAUSE_S: Final = 1.0


@final
class RelayPeers:
    """Chooses among the entries that are live and have taken relayed requests.

    Those in the failure domain of this entry come first. `paused_until` has the
    others: out of reach as well, stopping, or cut off from control.
    """

    __slots__ = ('failure_domain', 'own_name', 'paused_until', 'rng')

    def __init__(
        self, own_name: str, failure_domain: str, rng: random.Random
    ) -> None:
        """Create the choice of the entry on VM `own_name`."""
        self.own_name = own_name
        self.failure_domain = failure_domain
        self.rng = rng
        self.paused_until: dict[str, float] = {}

    def choose(
        self,
        vms: Iterable[VmRecord],
        live_vms: Collection[str],
        tried: Collection[str],
        now: float,
    ) -> VmRecord | None:
        """Return an entry that a request was not relayed to, or None."""
        able = [
            vm
            for vm in vms
            if vm.callers
            and not vm.draining
            and vm.name in live_vms
            and vm.name not in {self.own_name, *tried}
            and now >= self.paused_until.get(vm.name, 0)
        ]
        near = [vm for vm in able if vm.failure_domain == self.failure_domain]
        chosen = near or able
        if not chosen:
            return None
        weights = [max(vm.weight, 0) for vm in chosen]
        if not any(weights):
            return self.rng.choice(chosen)
        return self.rng.choices(chosen, weights)[0]

    def record_unable(self, name: str, now: float) -> None:
        """Record that an entry could not take a relayed request."""
        self.paused_until = {
            paused: until
            for paused, until in self.paused_until.items()
            if until > now
        }
        self.paused_until[name] = now + _PAUSE_S
