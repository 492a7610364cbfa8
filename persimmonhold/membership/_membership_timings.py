"""Timings and limits of membership and dissemination."""

from typing import Final, final

import msgspec

_SMALL_SYSTEM_VMS: Final = 64


@final
class MembershipTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Timings and limits; they must be equal at every VM of a system.

    A VM sends heartbeats every `joining_interval_s` until it has proof of
    control. It serves while its proof of control or of a majority is younger
    than `lease_s`. A VM is removed once there has been no proof of it for
    `removal_timeout_s`, which must exceed the lease by more than the time
    that proofs take to spread.

    A change is pushed by the leader to up to `leader_push_fanout` VMs and by
    each of these to `push_fanout` VMs, or to one VM in a small system. If
    more than `max_pushed_changes` changes come at once, VMs pull them.
    Snapshots are sent in parts of `snapshot_part_bytes`.
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
    snapshot_part_bytes: int = 65_536

    def heartbeat_interval_s_for(self, vm_count: int) -> float:
        """Return the heartbeat interval in a system of `vm_count` VMs."""
        if vm_count <= _SMALL_SYSTEM_VMS:
            return self.heartbeat_interval_s
        return 2 * self.heartbeat_interval_s

    def push_fanout_for(self, vm_count: int) -> int:
        """Return the number of VMs to which a VM forwards a change.

        One is enough if the leader pushes to all VMs, because heartbeats
        detect and repair lost changes.
        """
        return 1 if vm_count <= self.leader_push_fanout else self.push_fanout

    def heartbeat_fanout_for(self, vm_count: int) -> int:
        """Return the number of random VMs that receive each heartbeat.

        Heartbeats to control VMs are not counted.
        """
        return self.heartbeat_fanout if vm_count <= _SMALL_SYSTEM_VMS else 1
