"""Pre-votes and votes.

Invariants: one vote a term, synced before it is sent; a candidate counts
its own vote once it is synced; no vote while a leader may hold a lease,
except for a successor that the leader named.
"""

from typing import final

from persimmonhold.consensus._core import Core
from persimmonhold.consensus._member import ReplicaId
from persimmonhold.consensus._messages import RequestVote, VoteReply
from persimmonhold.consensus._role import Role


@final
class Elections:
    """The election part of a replica."""

    __slots__ = ('_asked_term', '_core', '_own_vote', '_votes')

    def __init__(self, core: Core) -> None:
        """Create the part before any election."""
        self._core = core
        self._votes: set[ReplicaId] = set()
        self._asked_term = 0
        self._own_vote = 0

    def may_start(self) -> bool:
        """Tell whether this replica may ask for votes."""
        core = self._core
        return core.is_voter() and core.verification.allows(
            core.log.last_position,
            core.next_term,
        )

    def start(self, now: float) -> None:
        """Ask whether the voters would elect this replica."""
        core = self._core
        core.role = Role.pre_candidate
        core.leader = ''
        core.reset_election_timer(now)
        self._asked_term = core.next_term
        self._votes = {core.replica}
        if core.configuration.is_quorum(self._votes):
            self.stand(now, is_transfer=False)
        else:
            self._ask(is_pre=True, is_transfer=False)

    def stand(self, now: float, *, is_transfer: bool) -> None:
        """Ask the voters for their votes in the next term."""
        core = self._core
        self._asked_term = core.next_term
        self._votes = set()
        core.role = Role.candidate
        core.leader = ''
        core.reset_election_timer(now)
        self._own_vote = core.change_term(self._asked_term, core.replica)
        self._ask(is_pre=False, is_transfer=is_transfer)

    def on_request(
        self,
        sender: ReplicaId,
        message: RequestVote,
        now: float,
    ) -> None:
        """Answer a candidate."""
        core = self._core
        if core.is_led(now) and not message.is_transfer:
            return
        if message.is_pre:
            self._answer_pre(sender, message)
            return
        if message.term > core.term:
            core.follow(message.term, '', now)
        is_granted = (
            message.term == core.term
            and core.hard_state.voted_for in {'', sender}
            and self._would_elect(message)
        )
        if is_granted:
            core.change_term(message.term, sender)
            core.reset_election_timer(now)
        core.send(sender, VoteReply(core.term, is_granted))

    def on_reply(
        self,
        sender: ReplicaId,
        message: VoteReply,
        now: float,
    ) -> None:
        """Count an answer."""
        core = self._core
        wanted = Role.pre_candidate if message.is_pre else Role.candidate
        if message.is_granted:
            if core.role is wanted and message.term == self._asked_term:
                self._votes.add(sender)
                self._advance(now)
        elif message.term > core.term:
            core.follow(message.term, '', now)

    def on_synced(self, number: int) -> None:
        """Count the own vote once it is on disk."""
        if self._core.role is Role.candidate and number >= self._own_vote:
            self._votes.add(self._core.replica)

    def is_won(self) -> bool:
        """Tell whether a quorum voted for this candidate."""
        core = self._core
        return core.role is Role.candidate and core.configuration.is_quorum(
            self._votes,
        )

    def _advance(self, now: float) -> None:
        core = self._core
        is_wanted = core.configuration.is_quorum(self._votes)
        if core.role is Role.pre_candidate and is_wanted:
            self.stand(now, is_transfer=False)

    def _answer_pre(self, sender: ReplicaId, message: RequestVote) -> None:
        core = self._core
        is_granted = message.term > core.term and self._would_elect(message)
        term = message.term if is_granted else core.term
        core.send(sender, VoteReply(term, is_granted, is_pre=True))

    def _would_elect(self, message: RequestVote) -> bool:
        core = self._core
        last = (message.last_term, message.last_index)
        return last >= core.log.last_position and core.verification.allows(
            last,
            message.term,
        )

    def _ask(self, *, is_pre: bool, is_transfer: bool) -> None:
        core = self._core
        request = RequestVote(
            term=self._asked_term,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            is_pre=is_pre,
            is_transfer=is_transfer,
        )
        for voter in core.configuration.voters:
            if voter != core.replica:
                core.send(voter, request)
