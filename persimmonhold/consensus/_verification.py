"""Whether this replica may vote after a start.

A disk may have come back older than what its replica acknowledged. Every
start therefore asks the other voters before it votes. An entry that this
replica helped to commit is held by a quorum less one of the others, and a
candidate that it helped to elect has synced its term. Any quorum of others,
of this or the next configuration, contains one that holds the newest of
these. So after as many answers the replica votes only for a log at least as
new as the newest answer, in a term above the highest answer: whatever it
forgot cannot be undone by its vote.

Fewer others may be alive. After `verification_timeout_s` a quorum less one
is enough, so that a group at its last quorum survives a restart. An older
disk counts as one of the losses that the group tolerates. Voters are those
of the newest configuration that this replica or an answer knows.
"""

from typing import Final, final

from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._member import ReplicaId
from persimmonhold.consensus._messages import BootReport

_NO_LOG: Final = (float('inf'), float('inf'))


@final
class Verification:
    """The answers to a boot check and the floor they set for votes."""

    __slots__ = (
        'configuration',
        'configuration_index',
        'earlier_floor',
        'floor',
        'non_leaders',
        'is_done',
        'responders',
        'started_at',
        'highest_term',
        'known_voters',
    )

    def __init__(self, started_at: float, *, is_done: bool) -> None:
        """Create a check that began at `since`; an empty log needs none."""
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

    def restart(self, since: float) -> 'Verification':
        """Return a check that asks everyone anew; what was allowed stays so."""
        restarted = Verification(since, is_done=False)
        restarted.earlier_floor = self.floor
        restarted.highest_term = self.highest_term
        restarted.configuration = self.configuration
        restarted.configuration_index = self.configuration_index
        return restarted

    def record_role(self, sender: ReplicaId, report: BootReport) -> None:
        """Note whether a voter leads, from any answer to this start."""
        self.known_voters.update(report.configuration.voters)
        if not report.may_lead:
            self.non_leaders.add(sender)

    def record_report(self, sender: ReplicaId, report: BootReport) -> None:
        """Take an answer."""
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
        """Allow votes where enough other voters have answered."""
        self._update_configuration(configuration, index)
        others = set(self.configuration.voters) - {replica}
        needed = self.configuration.quorum - int(is_overdue)
        answered = len(self.responders & others)
        if answered >= min(needed, len(others)):
            self.is_done = True

    def has_no_leader(self, replica: ReplicaId) -> bool:
        """Tell whether every other voter answered that it does not lead.

        Then no lease rests on what this replica promised before its start: a
        leader that comes later needs a new promise. Voters of every
        configuration that was heard of count, since one of them may lead.
        """
        return (
            self.is_done and self.known_voters - {replica} <= self.non_leaders
        )

    def allows_vote(self, last: tuple[int, int], term: int) -> bool:
        """Tell whether a vote for such a log in such a term is safe."""
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
