"""Decides whether this replica may vote after a start.

A disk may have been restored to a state older than what its replica has
acknowledged. After every start the replica therefore asks the other voters
before it votes. An entry that this replica helped to commit is held by at
least a quorum minus one of the other voters, and a candidate that it helped to
elect has synced its term. Any quorum of other voters, of this or the next
configuration, contains one that holds the latest of these. So after a quorum
of answers the replica votes only for a log at least as up to date as the
newest one reported, and only in a term above the highest one reported. Its
vote then cannot undo what it has forgotten.

Too few other voters may be alive for that. After `verification_timeout_s` a
quorum minus one is enough, so that a group with just a quorum left survives a
restart. An outdated disk then counts as one of the losses that the group
tolerates. The voters are those of the latest configuration known to this
replica or reported in an answer.
"""

from typing import Final, final

from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._member import ReplicaId
from persimmonhold.consensus._messages import BootReport

_NO_LOG: Final = (float('inf'), float('inf'))


@final
class Verification:
    """The answers to the check of a start, and the limits they set for votes.

    `floor` is the lowest last log position, as (term, index), that a
    candidate may have. `earlier_floor` is that of the previous check, which
    a candidate may meet instead. A vote needs a term above `highest_term`.
    `responders` are the replicas that answered; `non_leaders` those known not
    to lead.
    """

    __slots__ = (
        'configuration',
        'configuration_index',
        'earlier_floor',
        'floor',
        'highest_term',
        'is_done',
        'known_voters',
        'non_leaders',
        'responders',
        'started_at',
    )

    def __init__(self, started_at: float, *, is_done: bool) -> None:
        """Create a check that began at `started_at`.

        `is_done` is true at once for an empty log, which needs no check.
        """
        self.started_at = started_at
        self.is_done = is_done
        self.responders: set[ReplicaId] = set()
        self.non_leaders: set[ReplicaId] = set()
        self.known_voters: set[ReplicaId] = set()
        self.floor = (0, 0)
        self.earlier_floor: tuple[float, float] = _NO_LOG
        self.highest_term = 0
        self.configuration = Configuration()
        self.configuration_index = 0

    def create_next_check(self, started_at: float) -> 'Verification':
        """Return a new check that still allows the votes allowed so far."""
        restarted = Verification(started_at, is_done=False)
        restarted.earlier_floor = self.floor
        restarted.highest_term = self.highest_term
        restarted.configuration = self.configuration
        restarted.configuration_index = self.configuration_index
        return restarted

    def record_role(self, sender: ReplicaId, report: BootReport) -> None:
        """Record the voters in an answer, and a sender that does not lead."""
        self.known_voters.update(report.configuration.voters)
        if not report.may_lead:
            self.non_leaders.add(sender)

    def record_report(self, sender: ReplicaId, report: BootReport) -> None:
        """Count an answer and raise the limits for votes to what it reports."""
        self.responders.add(sender)
        self.floor = max(self.floor, (report.last_term, report.last_index))
        self.highest_term = max(self.highest_term, report.term)
        self._update_configuration(
            report.configuration, report.configuration_index
        )

    def complete_if_answered(
        self,
        configuration: Configuration,
        index: int,
        replica: ReplicaId,
        *,
        is_overdue: bool,
    ) -> None:
        """Set `is_done`, which allows votes, if enough voters have answered.

        `configuration` and its log index `index` are the latest of this
        replica. If `is_overdue`, one answer fewer is enough.
        """
        self._update_configuration(configuration, index)
        others = set(self.configuration.voters) - {replica}
        needed = self.configuration.quorum - int(is_overdue)
        answered = len(self.responders & others)
        if answered >= min(needed, len(others)):
            self.is_done = True

    def has_no_leader(self, replica: ReplicaId) -> bool:
        """Return whether every other voter answered that it does not lead.

        Then no lease depends on what this replica granted before its start,
        and a later leader needs a new grant. The voters of all known
        configurations count, since any of them may lead.
        """
        return (
            self.is_done and self.known_voters - {replica} <= self.non_leaders
        )

    def allows_vote(self, last: tuple[int, int], term: int) -> bool:
        """Return whether it is safe to vote for a candidate in a term.

        `last` is the (term, index) of the last entry in the candidate's log.
        """
        is_newer = self.is_done and last >= self.floor
        return term > self.highest_term and (
            is_newer or last >= self.earlier_floor
        )

    def _update_configuration(
        self, configuration: Configuration, index: int
    ) -> None:
        self.known_voters.update(configuration.voters)
        if index >= self.configuration_index:
            self.configuration = configuration
            self.configuration_index = index
