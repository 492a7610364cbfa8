"""Whether this replica may vote after a start.

A disk may have come back older than what its replica acknowledged. Every
start therefore asks the other voters before it votes. Let n be the voters.
An entry that this replica helped to commit is held by n // 2 others, and a
candidate that it helped to elect has synced its term. Of any (n + 1) // 2
others at least one holds the newest of these; so after as many answers the
replica votes only for a log at least as new as the newest answer, in a term
above the highest answer. Whatever it forgot cannot be undone by its vote.

Fewer others may be alive. After `verification_timeout_s` n // 2 answers are
enough, so that a group at its last quorum survives a restart. An older disk
counts as one of the losses that the group tolerates.
"""

from typing import final

from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._member import ReplicaId
from persimmonhold.consensus._messages import BootReport


@final
class Verification:
    """The answers to a boot check and the floor they set for votes."""

    __slots__ = ('floor', 'is_done', 'reports', 'since', 'term')

    def __init__(self, since: float, *, is_done: bool) -> None:
        """Create a check that began at `since`; an empty log needs none."""
        self.since = since
        self.is_done = is_done
        self.reports: set[ReplicaId] = set()
        self.floor = (0, 0)
        self.term = 0

    def add(self, sender: ReplicaId, report: BootReport) -> None:
        """Take an answer."""
        self.reports.add(sender)
        self.floor = max(self.floor, (report.last_term, report.last_index))
        self.term = max(self.term, report.term)

    def conclude(
        self,
        configuration: Configuration,
        replica: ReplicaId,
        *,
        is_overdue: bool,
    ) -> None:
        """Allow votes where enough other voters have answered."""
        others = set(configuration.voters) - {replica}
        voters = len(configuration.voters)
        needed = voters // 2 if is_overdue else (voters + 1) // 2
        answered = len(self.reports & others)
        if answered >= min(needed, len(others)):
            self.is_done = True

    def allows(self, last: tuple[int, int], term: int) -> bool:
        """Tell whether a vote for such a log in such a term is safe."""
        return self.is_done and last >= self.floor and term > self.term
