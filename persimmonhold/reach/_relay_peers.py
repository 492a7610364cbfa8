"""Chooses the entries to which an entry without upstreams relays requests."""

import random
from collections import Counter
from collections.abc import Collection, Iterable
from typing import Final, final

from persimmonhold.messages import VmRecord

# An entry that could not take a relayed request is not asked for this long.
_PAUSE_S: Final = 1.0
# One that did not answer a request, or could not take one, is asked only if no
# other is left for this long. Covers the time after which an entry that is frozen
# counts as silent.
_DOUBT_S: Final = 3.0


@final
class RelayPeers:
    """Chooses among the entries that are live and have taken relayed requests.

    Those in the failure domain of this entry come first, and of these the ones
    with the fewest `running` requests for their weight. `paused_until` has those
    that could not take one: stopping, cut off from control, or from the upstreams.
    The latter may be true of their whole failure domain, which is then in
    `domains_paused_until`. `doubted_until` has those that did not answer, or were
    paused lately. Doubted entries and paused domains come last.
    """

    __slots__ = (
        'domains_paused_until',
        'doubted_until',
        'failure_domain',
        'own_name',
        'paused_until',
        'rng',
        'running',
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
        self.doubted_until: dict[str, float] = {}
        self.running: Counter[str] = Counter()

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
        trusted = [
            vm for vm in able if now >= self.doubted_until.get(vm.name, 0)
        ]
        likely = [
            vm
            for vm in trusted
            if now >= self.domains_paused_until.get(vm.failure_domain, 0)
        ]
        near = [vm for vm in likely if vm.failure_domain == self.failure_domain]
        return self._choose_least_busy(near or likely or trusted or able)

    def record_sent(self, name: str) -> None:
        """Record that a request is relayed to an entry."""
        self.running[name] += 1

    def record_ended(self, name: str) -> None:
        """Record that a relayed request has ended."""
        self.running[name] -= 1
        if not self.running[name]:
            self.running.pop(name)

    def record_unable(self, vm: VmRecord, now: float, *, is_cut: bool) -> None:
        """Record that an entry could not take a relayed request.

        `is_cut` tells that it reaches no upstream either. After the pause it
        still comes last for a while, as it may be so for as long as this entry.
        """
        self.paused_until = _drop_past(self.paused_until, now)
        self.paused_until[vm.name] = now + _PAUSE_S
        self.record_unanswered(vm.name, now)
        if is_cut:
            self.domains_paused_until[vm.failure_domain] = now + _PAUSE_S

    def record_unanswered(self, name: str, now: float) -> None:
        """Record that an entry did not answer a relayed request in time."""
        self.doubted_until = _drop_past(self.doubted_until, now)
        self.doubted_until[name] = now + _DOUBT_S

    def _choose_least_busy(self, vms: list[VmRecord]) -> VmRecord | None:
        """Choose among the entries with the fewest requests for their weight.

        An entry that hangs so gets no more of them than the others have.
        """
        weighted = [vm for vm in vms if vm.weight > 0]
        if not weighted:
            return self.rng.choice(vms) if vms else None
        shares = {vm.name: self.running[vm.name] / vm.weight for vm in weighted}
        least = min(shares.values())
        idle = [vm for vm in weighted if shares[vm.name] <= least]
        return self.rng.choices(idle, [vm.weight for vm in idle])[0]


def _drop_past(times: dict[str, float], now: float) -> dict[str, float]:
    return {name: until for name, until in times.items() if until > now}
