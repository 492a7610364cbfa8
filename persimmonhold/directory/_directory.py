"""Lists the entry addresses for a caller.

Invariants: the address of a draining VM is never listed while another VM
serves callers. The address of a VM outside `live_vms` is never listed while a
VM in `live_vms` serves callers. The addresses in the caller's failure domain
come first, unless this entry is in the same domain and is overloaded.
"""

import random
from collections.abc import Sequence
from typing import Final, final

from persimmonhold.directory._directory_entry import (
    DirectoryEntry,
    DirectoryResponse,
)
from persimmonhold.messages import ControlView, VmRecord

# From this load fraction on, an entry no longer lists the addresses in its own
# failure domain first.
_OVERLOAD_FRACTION: Final = 0.9
# However loaded it is, an entry lists itself with at least this fraction of its
# configured weight.
_MIN_WEIGHT_FRACTION: Final = 0.05
# As many addresses are drawn, even if the heaviest entry then is due several of
# them: most callers should have a second one if the first is unreachable.
_MIN_SAMPLE: Final = 4


@final
class Directory:
    """The directory that one entry serves to callers.

    `load_fraction` is the load of this entry, from 0 (idle) to 1 (full).
    `is_leaving` is set when the planned stop of this entry begins.
    """

    __slots__ = (
        '_own_failure_domain',
        '_own_vm',
        '_ttl_s',
        'is_leaving',
        'load_fraction',
    )

    def __init__(
        self, own_vm: str, own_failure_domain: str, ttl_s: float
    ) -> None:
        """Create the directory of the entry on VM `own_vm`.

        Callers may use a response for `ttl_s` seconds.
        """
        self.load_fraction = 0.0
        self.is_leaving = False
        self._own_vm = own_vm
        self._own_failure_domain = own_failure_domain
        self._ttl_s = ttl_s

    def list_entries(
        self,
        view: ControlView,
        live_vms: frozenset[str],
        failure_domain: str = '',
    ) -> DirectoryResponse:
        """Return the entry addresses for a caller in `failure_domain`.

        VMs that are not in `live_vms` are left out while a live VM serves. The
        load of this entry lowers its own weight. If `failure_domain` is empty,
        the caller is assumed to be in the failure domain of this entry.
        """
        domain = failure_domain or self._own_failure_domain
        staying = [vm for vm in view.vms if self._is_serving(vm)]
        serving = [vm for vm in staying if vm.name in live_vms] or staying
        if not serving:
            serving = [vm for vm in view.vms if vm.callers]
        if (
            domain == self._own_failure_domain
            and self.load_fraction >= _OVERLOAD_FRACTION
        ):
            domain = ''
        ordered = sorted(
            serving,
            key=lambda vm: (vm.failure_domain != domain, vm.name),
        )
        return DirectoryResponse(
            revision=view.index,
            ttl_s=self._ttl_s,
            entries=tuple(self._build_entry(vm) for vm in ordered),
        )

    def _is_serving(self, vm: VmRecord) -> bool:
        """Tell whether a VM serves callers and is not being drained."""
        if not vm.callers or vm.draining:
            return False
        return not (self.is_leaving and vm.name == self._own_vm)

    def _build_entry(self, vm: VmRecord) -> DirectoryEntry:
        weight = vm.weight
        if vm.name == self._own_vm:
            weight *= max(_MIN_WEIGHT_FRACTION, 1 - self.load_fraction)
        return DirectoryEntry(
            address=vm.callers,
            failure_domain=vm.failure_domain,
            weight=round(weight, 3),
        )


def sample_addresses(
    entries: Sequence[DirectoryEntry], max_count: int, rng: random.Random
) -> list[str]:
    """Return addresses, from which a caller picks one at random.

    With equal weights, these are the first `max_count`. Otherwise an entry is
    as often included as its weight requires, so that entries are picked in
    proportion to their weights. The order stays that of `entries`. If those of
    the first failure domain are enough, only they are included.
    """
    if len({entry.weight for entry in entries}) < 2:
        return [entry.address for entry in entries[:max_count]]
    nearest = _count_nearest(entries)
    pool = list(entries[:nearest] if nearest >= max_count else entries)
    total = sum(entry.weight for entry in pool)
    heaviest = max(entry.weight for entry in pool)
    count = min(max_count, int(total / heaviest))
    count = min(len(pool), max(_MIN_SAMPLE, count))
    drawn = _draw(pool, count, rng)
    return [entry.address for entry in pool if entry.address in drawn]


def _count_nearest(entries: Sequence[DirectoryEntry]) -> int:
    """Count the first entries that are of the same failure domain."""
    domain = entries[0].failure_domain
    count = 0
    for entry in entries:
        if entry.failure_domain != domain:
            break
        count += 1
    return count


def _draw(
    entries: Sequence[DirectoryEntry], count: int, rng: random.Random
) -> set[str]:
    """Draw addresses in proportion to their weights, by systematic sampling.

    An entry whose share is above one address is always drawn, which leaves less
    than `count` addresses.
    """
    shuffled = list(entries)
    rng.shuffle(shuffled)
    step = sum(entry.weight for entry in entries) / count
    next_at = step * rng.random()
    drawn: set[str] = set()
    passed = 0.0
    for entry in shuffled:
        passed += entry.weight
        if next_at < passed:
            drawn.add(entry.address)
        while next_at < passed:
            next_at += step
    return drawn or {shuffled[-1].address}
