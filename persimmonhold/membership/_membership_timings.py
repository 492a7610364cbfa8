"""Timings and limits of membership and dissemination."""

import math
from typing import Final, final

import msgspec

_SMALL_SYSTEM_VMS: Final = 64
# Bounds the periodic reports of all VMs together to the leader.
_REPORTS_PER_SECOND: Final = 100
# A VM counts as silent only after more than one report of it was due.
_SILENT_REPORT_INTERVALS: Final = 1.5


@final
class MembershipTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Timings and limits; they must be equal at every VM of a system.

    A VM sends heartbeats every `joining_interval_s` until it has proof of
    control. It serves while its proof of control or of a majority is younger
    than `lease_s`. A VM is removed once there has been no proof of it for
    `removal_timeout_s`, which must exceed the lease by more than the time
    that proofs take to spread. If a majority is silent, control is probably
    cut off from them, and they are removed after `mass_removal_timeout_s`.

    A VM that lacks a change and has been silent for `acceptance_silence_s` does
    not delay the acceptance of the change. If it is infinite, a majority must
    hold each change.

    A large system sends fewer heartbeats, as the proof of control suffices. A VM
    of such a system whose proof of control is older than `control_loss_s` sends
    each heartbeat to `control_loss_fanout` VMs, so that it has proof of a majority
    before the lease ends.

    A VM whose proof of control is older than `leader_proof_s` asks the leader for
    one, so that it has a newer one before twice that time. If it is infinite,
    proofs come with the heartbeats alone, up to 3 s late in a large system.

    A change is pushed by the leader to up to `leader_push_fanout` VMs and by
    each of these to `push_fanout` VMs, or to one VM in a small system. If
    more than `max_pushed_changes` changes come at once, VMs pull them.
    Snapshots are sent in parts of `snapshot_part_bytes`.
    """

    heartbeat_interval_s: float = 0.5
    joining_interval_s: float = 0.1
    lease_s: float = 4
    removal_timeout_s: float = 10
    mass_removal_timeout_s: float = 30
    acceptance_silence_s: float = math.inf
    pull_timeout_s: float = 0.3
    heartbeat_fanout: int = 2
    control_loss_s: float = 2
    control_loss_fanout: int = 6
    leader_proof_s: float = math.inf
    push_fanout: int = 5
    leader_push_fanout: int = 32
    max_pushed_changes: int = 64
    snapshot_part_bytes: int = 65_536

    def heartbeat_interval_s_for(self, vm_count: int) -> float:
        """Return the heartbeat interval in a system of `vm_count` VMs."""
        if vm_count <= _SMALL_SYSTEM_VMS:
            return self.heartbeat_interval_s
        return 2 * self.heartbeat_interval_s

    def report_interval_s_for(self, vm_count: int) -> float:
        """Return the interval of a VM's reports in a system of `vm_count`."""
        return max(self.heartbeat_interval_s, vm_count / _REPORTS_PER_SECOND)

    def acceptance_silence_s_for(self, vm_count: int) -> float:
        """Return the silence after which a VM delays no acceptance."""
        interval_s = self.report_interval_s_for(vm_count)
        return max(
            self.acceptance_silence_s, _SILENT_REPORT_INTERVALS * interval_s
        )

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

    def control_loss_fanout_for(self, vm_count: int) -> int:
        """Return the number of random VMs without a recent proof of control."""
        if vm_count <= _SMALL_SYSTEM_VMS:
            return self.heartbeat_fanout
        return self.control_loss_fanout
