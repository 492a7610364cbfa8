"""Detects replicas that start from an outdated copy of their data folder.

Each start has an increasing number and a random value, which the replica sends
to the members for checking. A member persists a valid start before it sends
the result of the check to the replica. It declares the identity of that
replica void if the data folder is provably outdated: the start number was
already used, or the log is shorter than what the current leader saw synced.
An identity that the group has removed is void as well.
"""

from typing import final

from persimmonhold.consensus._actions import ResetReplica
from persimmonhold.consensus._boot import Boot
from persimmonhold.consensus._core import Core
from persimmonhold.consensus._leadership import Leadership
from persimmonhold.consensus._member import ReplicaId
from persimmonhold.consensus._messages import BootCheck, BootReport
from persimmonhold.consensus._role import Role


@final
class BootChecks:
    """Verifies the start of this replica and answers those of others."""

    __slots__ = ('_core', 'is_identity_void')

    def __init__(self, core: Core) -> None:
        """Record a new start of this replica and queue its write."""
        self._core = core
        self.is_identity_void = False
        core.record_boot(core.replica, core.create_boot())

    def on_boot_check(
        self,
        sender: ReplicaId,
        check: BootCheck,
        leadership: Leadership | None,
        *,
        is_lease_held: bool,
    ) -> None:
        """Answer the start of another replica; record it unless it is void.

        A leader also forgets the acknowledgements that the replica sent before
        this start. `is_lease_held` tells whether this replica leads with a
        valid lease; only then is the start void because of missing log entries.
        """
        core = self._core
        known = core.hard_state.boots.get(sender, Boot())
        is_void = check.boot != known and (
            check.boot.number <= known.number
            or (
                is_lease_held
                and self._has_lost_entries(sender, check, leadership)
            )
        )
        if not is_void and check.boot != known:
            core.record_boot(sender, check.boot)
            if leadership is not None:
                leadership.replicator.reset_progress(sender, check.last_index)
        self._send_boot_report(sender, check.boot, is_void=is_void)

    def reject_removed_replica(self, sender: ReplicaId) -> None:
        """Tell a replica that its identity is void, since it was removed."""
        self._send_boot_report(sender, Boot(), is_void=True)

    def on_boot_report(
        self,
        sender: ReplicaId,
        report: BootReport,
        now: float,
    ) -> None:
        """Handle another replica's answer to the check of this start.

        If the answer declares this identity void, the replica is reset.
        Otherwise the answer counts towards the verification, and once every
        other voter is known not to lead, the lease assumed since the start is
        cleared.
        """
        core = self._core
        if report.is_void and report.boot in {core.current_boot, Boot()}:
            self.is_identity_void = True
            core.outbox.emit(
                ResetReplica(f'identity declared void by {sender}')
            )
        elif report.boot == core.current_boot:
            core.verification.record_role(sender, report)
            if not core.verification.is_done:
                core.verification.record_report(sender, report)
                self.try_complete_verification(is_overdue=False)
            if core.verification.has_no_leader(core.replica):
                core.clear_assumed_lease(now)

    def retry_verification(self, now: float) -> None:
        """Send the check again while this start still prevents votes.

        First restarts the verification if its vote floor cannot be reached, or
        completes it if enough members have answered by now.
        """
        core = self._core
        if self._is_floor_unreachable(now):
            core.verification = core.verification.create_next_check(now)
        if not core.verification.is_done:
            waited_s = now - core.verification.started_at
            limit_s = core.timings.verification_timeout_s
            self.try_complete_verification(is_overdue=waited_s >= limit_s)
            core.send_boot_checks()
        elif core.is_lease_only_assumed(now):
            core.send_boot_checks()

    def try_complete_verification(self, *, is_overdue: bool) -> None:
        """Complete the verification if enough members have answered.

        `is_overdue` tells whether `verification_timeout_s` has passed, after
        which one answer fewer is enough.
        """
        core = self._core
        core.verification.complete_if_answered(
            core.configuration,
            core.log.configuration_index,
            core.replica,
            is_overdue=is_overdue,
        )

    def _is_floor_unreachable(self, now: float) -> bool:
        """Return whether no live replica seems to have a log up to the floor.

        The floor is the log position below which this replica votes for no
        candidate. An answer may have raised it to entries that were never
        committed and whose disk has been lost since. That is assumed after
        `verification_timeout_s` with the own log below the floor and no
        message from a leader.
        """
        core = self._core
        limit_s = core.timings.verification_timeout_s
        began_at = max(
            core.verification.started_at, core.last_leader_contact_at
        )
        is_waiting = (
            core.verification.is_done
            and core.log.last_position < core.verification.floor
        )
        return is_waiting and now - began_at >= limit_s

    def _has_lost_entries(
        self,
        sender: ReplicaId,
        check: BootCheck,
        leadership: Leadership | None,
    ) -> bool:
        if leadership is None:
            return False
        progress = leadership.replicator.progress.get(sender)
        return progress is not None and progress.match_index > check.last_index

    def _send_boot_report(
        self,
        sender: ReplicaId,
        boot: Boot,
        *,
        is_void: bool,
    ) -> None:
        core = self._core
        report = BootReport(
            boot=boot,
            term=core.term,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            configuration=core.configuration,
            configuration_index=core.log.configuration_index,
            is_void=is_void,
            may_lead=core.role is Role.leader,
        )
        core.send_after_sync(sender, report)
