"""Times and bounds of membership and dissemination."""

from typing import Final, final

import msgspec

_SMALL_SYSTEM_VMS: Final = 64


@final
class MembershipTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Times in seconds; equal at every VM of a system.

    Until it has proof of control a VM asks every `joining_interval_s`. A VM
    serves while its proof is younger than `lease_s`. A VM that nobody
    has proof of for `dead_after_s` is removed; it has to be longer than the
    lease by more than the proofs take to spread.
    """

    heartbeat_interval_s: float = 0.5
    joining_interval_s: float = 0.1
    lease_s: float = 4
    removal_timeout_s: float = 10
    pull_timeout_s: float = 0.3
    heartbeat_fanout: int = 2
    push_fanout: int = 5
    leader_push_fanout: int = 32
    max_pushed_changes: int = 64
    part_bytes: int = 65_536

    def heartbeat_interval_s_for(self, vm_count: int) -> float:
        """Return the time between heartbeats in a system of that size."""
        if vm_count <= _SMALL_SYSTEM_VMS:
            return self.heartbeat_interval_s
        return 2 * self.heartbeat_interval_s

    def push_fanout_for(self, vm_count: int) -> int:
        """Return how many VMs a change is passed on to.

        Where the leader pushes to all, one more is enough: heartbeats mend
        what was lost.
        """
        return 1 if vm_count <= self.leader_push_fanout else self.push_fanout

    def heartbeat_fanout_for(self, vm_count: int) -> int:
        """Return how many VMs besides control a heartbeat goes to."""
        return self.heartbeat_fanout if vm_count <= _SMALL_SYSTEM_VMS else 1
