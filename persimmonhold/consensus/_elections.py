"""Pre-votes and votes.

Invariants: at most one vote per term, synced before it is sent; a candidate
counts its own vote only once it is synced; no vote is granted while a leader
may hold a lease, except to the target of a leadership transfer.
"""

from typing import final

from persimmonhold.consensus._core import Core
from persimmonhold.consensus._member import ReplicaId
from persimmonhold.consensus._messages import RequestVote, VoteReply
from persimmonhold.consensus._role import Role


@final
class Elections:
    """Runs elections of this replica and answers those of others."""

    __slots__ = ('_core', '_own_vote_sync', '_requested_term', '_votes')

    def __init__(self, core: Core) -> None:
        """Create the election state; no election is in progress."""
        self._core = core
        self._votes: set[ReplicaId] = set()
        self._requested_term = 0
        self._own_vote_sync = 0

    def can_start_election(self) -> bool:
        """Return whether this replica is a voter that may request votes.

        The verification of its start must allow a vote for its own log.
        """
        core = self._core
        return core.is_voter() and core.verification.allows_vote(
            core.log.last_position,
            core.next_term,
        )

    def start_pre_vote(self, now: float) -> None:
        """Become a pre-candidate: ask if voters would grant their votes.

        The term is raised, and the election started, only once a quorum would.
        """
        core = self._core
        core.role = Role.pre_candidate
        core.leader = ''
        core.reset_election_timer(now)
        self._requested_term = core.next_term
        self._votes = {core.replica}
        if core.configuration.is_quorum(self._votes):
            self.start_election(now, is_transfer=False)
        else:
            self._request_votes(is_pre=True, is_transfer=False)

    def start_election(self, now: float, *, is_transfer: bool) -> None:
        """Become a candidate: raise the term and request votes.

        `is_transfer` marks an election that the leader itself asked for.
        """
        core = self._core
        self._requested_term = core.next_term
        self._votes = set()
        core.role = Role.candidate
        core.leader = ''
        core.reset_election_timer(now)
        self._own_vote_sync = core.change_term(
            self._requested_term, core.replica
        )
        self._request_votes(is_pre=False, is_transfer=is_transfer)

    def on_vote_request(
        self,
        sender: ReplicaId,
        message: RequestVote,
        now: float,
    ) -> None:
        """Grant or refuse a vote or pre-vote that a candidate requests.

        A request is ignored while a leader may hold a lease, unless it is
        part of a leadership transfer.
        """
        core = self._core
        if core.is_lease_possible(now) and not message.is_transfer:
            return
        if message.is_pre:
            self._answer_pre_vote(sender, message)
            return
        if message.term > core.term:
            core.become_follower(message.term, '', now)
        is_granted = (
            message.term == core.term
            and core.hard_state.voted_for in {'', sender}
            and self._is_electable(message)
        )
        if is_granted:
            core.change_term(message.term, sender)
            core.reset_election_timer(now)
        core.send_after_sync(sender, VoteReply(core.term, is_granted))

    def on_vote_reply(
        self,
        sender: ReplicaId,
        message: VoteReply,
        now: float,
    ) -> None:
        """Count a granted vote or pre-vote, or follow a higher term.

        A quorum of pre-votes starts the election itself.
        """
        core = self._core
        expected_role = Role.pre_candidate if message.is_pre else Role.candidate
        if message.is_granted:
            if (
                core.role is expected_role
                and message.term == self._requested_term
            ):
                self._votes.add(sender)
                self._start_election_if_approved(now)
        elif message.term > core.term:
            core.become_follower(message.term, '', now)

    def on_synced(self, number: int) -> None:
        """Count this replica's own vote if its `Persist` is now synced.

        `number` is the highest number of a synced `Persist`.
        """
        if self._core.role is Role.candidate and number >= self._own_vote_sync:
            self._votes.add(self._core.replica)

    def has_won(self) -> bool:
        """Return whether this replica is a candidate that a quorum elected."""
        core = self._core
        return core.role is Role.candidate and core.configuration.is_quorum(
            self._votes,
        )

    def _start_election_if_approved(self, now: float) -> None:
        core = self._core
        is_approved = core.configuration.is_quorum(self._votes)
        if core.role is Role.pre_candidate and is_approved:
            self.start_election(now, is_transfer=False)

    def _answer_pre_vote(self, sender: ReplicaId, message: RequestVote) -> None:
        core = self._core
        is_granted = message.term > core.term and self._is_electable(message)
        term = message.term if is_granted else core.term
        core.send_after_sync(sender, VoteReply(term, is_granted, is_pre=True))

    def _is_electable(self, message: RequestVote) -> bool:
        core = self._core
        last = (message.last_term, message.last_index)
        return last >= core.log.last_position and core.verification.allows_vote(
            last,
            message.term,
        )

    def _request_votes(self, *, is_pre: bool, is_transfer: bool) -> None:
        core = self._core
        request = RequestVote(
            term=self._requested_term,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            is_pre=is_pre,
            is_transfer=is_transfer,
        )
        for voter in core.configuration.voters:
            if voter != core.replica:
                core.send_after_sync(voter, request)
