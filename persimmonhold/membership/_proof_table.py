"""Records the proofs that a VM has, which decide whether it may serve.

A proof is a time of this VM's clock that is not later than the moment at
which another VM was live, or a control leader with a quorum had no view newer
than the view of this VM. Proofs are derived from answers
that echo the time at which the heartbeat was sent, so a delayed answer proves
no more than a prompt one, and clocks of different VMs are never compared.
Proofs are passed on with their age.

Invariant: a VM accepts proofs from another VM only if its own view is at
least as new as the view of that VM. Hence proof that a VM was live at some
time implies a view at least as new as that VM had at that time.
"""

import hashlib
import math
from collections.abc import Iterable
from typing import Final, final

# An age is sent as one byte, so the highest age that can be sent is 12.7 s.
# This exceeds the default time without proof after which a VM is removed, 10 s.
AGE_UNIT_S: Final = 0.05
UNKNOWN_AGE: Final = 255
_HASH_BYTES: Final = 8


@final
class ProofTable:
    """The times of the newest proofs that this VM has of others and control.

    `has_joined` means that this VM has had a proof of control since its start.
    """

    __slots__ = (
        '_lease_s',
        '_name',
        '_started_at',
        'control_proven_at',
        'has_joined',
        'vms_proven_at',
    )

    def __init__(self, name: str, lease_s: float, started_at: float) -> None:
        """Create the table of the VM `name`, without proofs."""
        self.vms_proven_at: dict[str, float] = {}
        self.control_proven_at = -math.inf
        self.has_joined = False
        self._name = name
        self._lease_s = lease_s
        self._started_at = started_at

    def record_vm_proof(self, vm: str, proven_at: float) -> None:
        """Record that a VM was live at `proven_at`; keep any newer proof."""
        self.vms_proven_at[vm] = max(
            proven_at, self.vms_proven_at.get(vm, -math.inf)
        )

    def record_control_proof(self, proven_at: float) -> None:
        """Record that control had no newer view than this VM at `proven_at`."""
        self.control_proven_at = max(proven_at, self.control_proven_at)
        # A restarted VM has lost the view that it held, so it counts towards
        # a majority only after control has brought it up to date.
        self.has_joined = self.has_joined or proven_at >= self._started_at

    def proof_ages(self, now: float, names: tuple[str, ...]) -> bytes:
        """Return the ages of the proofs of `names`, encoded as a byte each."""
        return bytes(
            _encode_age(now, self._vm_proven_at(name, now)) for name in names
        )

    def control_proof_age(self, now: float) -> int:
        """Return the age of the proof of control in `AGE_UNIT_S`."""
        return _encode_age(now, self.control_proven_at)

    def merge_proofs(
        self,
        heartbeat_sent_at: float,
        names: tuple[str, ...],
        proof_ages: bytes,
    ) -> None:
        """Merge the proofs that answer a heartbeat sent at `heartbeat_sent_at`.

        `names` are the VMs to which the ages belong.
        """
        for name, age in zip(names, proof_ages, strict=True):
            if age != UNKNOWN_AGE and name != self._name:
                self.record_vm_proof(name, heartbeat_sent_at - age * AGE_UNIT_S)

    def live_vms(self, now: float, names: Iterable[str]) -> frozenset[str]:
        """Return those of `names` whose proof is no older than the lease."""
        horizon = now - self._lease_s
        return frozenset(
            name for name in names if self._vm_proven_at(name, now) >= horizon
        )

    def can_serve(self, now: float, registered_names: Iterable[str]) -> bool:
        """Return whether this VM may serve callers, given the registered VMs.

        A registered VM may serve with recent proof of control, or of a
        majority of the registered VMs. A change is accepted only once a
        majority holds it, so a change that this VM lacks cannot have been
        accepted before the time of these proofs.
        """
        registered = tuple(registered_names)
        if self._name not in registered:
            return False
        if now - self.control_proven_at <= self._lease_s:
            return True
        return len(self.live_vms(now, registered)) >= majority_size(
            len(registered)
        )

    def retain_vms(self, names: Iterable[str]) -> None:
        """Remove the proofs of all VMs that are not in `names`."""
        retained = set(names)
        for name in tuple(self.vms_proven_at):
            if name not in retained:
                self.vms_proven_at.pop(name)

    def _vm_proven_at(self, name: str, now: float) -> float:
        if name == self._name:
            return now if self.has_joined else -math.inf
        return self.vms_proven_at.get(name, -math.inf)


def majority_size(count: int) -> int:
    """Return the size of the smallest majority of `count` VMs."""
    return count // 2 + 1


def hash_names(names: tuple[str, ...]) -> int:
    """Return a hash by which VMs compare their lists of VM names."""
    hashed = hashlib.blake2b(
        '\n'.join(names).encode(),
        digest_size=_HASH_BYTES,
    )
    return int.from_bytes(hashed.digest(), 'little')


def _encode_age(now: float, proven_at: float) -> int:
    """Return the age of a proof in `AGE_UNIT_S`, rounded up.

    Without proof, or if it is too old for one byte, returns `UNKNOWN_AGE`.
    """
    if math.isinf(proven_at):
        return UNKNOWN_AGE
    return min(math.ceil((now - proven_at) / AGE_UNIT_S), UNKNOWN_AGE)
