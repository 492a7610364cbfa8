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

    Those in the failure domain of this entry come first. `paused_until` has
    those that could not take one: stopping, cut off from control, or from the
    upstreams. The latter may be true of their whole failure domain, which is in
    `domains_paused_until` and comes last.
    """

    __slots__ = (
        'domains_paused_until',
        'failure_domain',
        'own_name',
        'paused_until',
        'rng',
    )

    def __init__(
        self, own_name: str, failure_domain: str, rng: random.Random
    ) -> None:
        """Create the choice of the entry on VM `own_name`."""
        self.own_name = own_name
        self.failure_domain = failure_domain
        self.rng = rng
        self.paused_until: dict[str, float] = {}
        self.domains_paused_until: dict[str, float] = {}

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
        likely = [
            vm
            for vm in able
            if now >= self.domains_paused_until.get(vm.failure_domain, 0)
        ]
        near = [vm for vm in likely if vm.failure_domain == self.failure_domain]
        chosen = near or likely or able
        if not chosen:
            return None
        weights = [max(vm.weight, 0) for vm in chosen]
        if not any(weights):
            return self.rng.choice(chosen)
        return self.rng.choices(chosen, weights)[0]

    def record_unable(self, vm: VmRecord, now: float, *, is_cut: bool) -> None:
        """Record that an entry could not take a relayed request.

        `is_cut` tells that it reaches no upstream either.
        """
        self.paused_until = _drop_ended(self.paused_until, now)
        self.paused_until[vm.name] = now + _PAUSE_S
        if is_cut:
            self.domains_paused_until[vm.failure_domain] = now + _PAUSE_S


def _drop_ended(pauses: dict[str, float], now: float) -> dict[str, float]:
    return {name: until for name, until in pauses.items() if until > now}
