"""Starts of replicas: who may keep its identity.

Each start has a number that rises and a random value. A member answers a
start that it has recorded on disk, and calls the identity void where the
folder is provably older: a start number that was used before, a log shorter
than what the leader in force saw synced, or an identity that the group removed.
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
class Identity:
    """The part of a replica that checks starts."""

    __slots__ = ('_core', 'is_abandoned')

    def __init__(self, core: Core) -> None:
        """Create the part and record this start."""
        self._core = core
        self.is_abandoned = False
        core.record_boot(core.replica, core.new_boot())

    def on_check(
        self,
        sender: ReplicaId,
        check: BootCheck,
        leadership: Leadership | None,
        *,
        is_lease_held: bool,
    ) -> None:
        """Record the start of a member and report."""
        core = self._core
        known = core.hard_state.boots.get(sender, Boot())
        is_void = check.boot != known and (
            check.boot.number <= known.number
            or (is_lease_held and self._is_shorter(sender, check, leadership))
        )
        if not is_void and check.boot != known:
            core.record_boot(sender, check.boot)
            if leadership is not None:
                leadership.replicator.on_boot(sender, check.last_index)
        self._report(sender, check.boot, is_void=is_void)

    def refuse_stranger(self, sender: ReplicaId) -> None:
        """Tell a replica that the group has removed it."""
        self._report(sender, Boot(), is_void=True)

    def on_report(
        self,
        sender: ReplicaId,
        report: BootReport,
        now: float,
    ) -> None:
        """Take the answer to this start."""
        core = self._core
        if report.is_void and report.boot in {core.boot, Boot()}:
            self.is_abandoned = True
            core.outbox.emit(ResetReplica(f'identity refused by {sender}'))
        elif report.boot == core.boot:
            core.verification.hear(sender, report)
            if not core.verification.is_done:
                core.verification.add(sender, report)
                self.conclude(is_overdue=False)
            if core.verification.is_unled(core.replica):
                core.forget_promise(now)

    def verify(self, now: float) -> None:
        """Ask the other members again while votes are not allowed."""
        core = self._core
        if self._is_floor_lost(now):
            core.verification = core.verification.again(now)
        if not core.verification.is_done:
            waited_s = now - core.verification.since
            limit_s = core.timings.verification_timeout_s
            self.conclude(is_overdue=waited_s >= limit_s)
            core.announce_boot()
        elif core.is_bound_by_start(now):
            core.announce_boot()

    def conclude(self, *, is_overdue: bool) -> None:
        """End the verification where enough members answered."""
        core = self._core
        core.verification.conclude(
            core.configuration,
            core.log.configuration_index,
            core.replica,
            is_overdue=is_overdue,
        )

    def _is_floor_lost(self, now: float) -> bool:
        """Tell whether nobody alive may hold the log that votes wait for.

        An answer may have told of entries that were never committed, on a
        disk that was lost since.
        """
        core = self._core
        limit_s = core.timings.verification_timeout_s
        began_at = max(core.verification.since, core.last_leader_contact_at)
        is_waiting = (
            core.verification.is_done
            and core.log.last_position < core.verification.floor
        )
        return is_waiting and now - began_at >= limit_s

    def _is_shorter(
        self,
        sender: ReplicaId,
        check: BootCheck,
        leadership: Leadership | None,
    ) -> bool:
        if leadership is None:
            return False
        progress = leadership.replicator.progress.get(sender)
        return progress is not None and progress.match_index > check.last_index

    def _report(
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
        core.send(sender, report)
