"""The state shared by the components of a replica."""

import random
from typing import Final, final

import msgspec

from persimmonhold.consensus._actions import Apply, Send
from persimmonhold.consensus._boot import Boot
from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._hard_state import HardState
from persimmonhold.consensus._member import ReplicaId, vm_of
from persimmonhold.consensus._messages import BootCheck, Envelope, Message
from persimmonhold.consensus._outbox import Outbox
from persimmonhold.consensus._raft_log import RaftLog
from persimmonhold.consensus._role import Role
from persimmonhold.consensus._timings import Timings
from persimmonhold.consensus._verification import Verification

# Size of the random value in the record of a start.
_NONCE_BITS: Final = 48

# Range of the random part of the first election timeout, as a fraction of it.
# After a start of the whole group there is no leader and a split vote costs
# little. If some voters do not answer, no vote is granted for an election
# timeout after a start, however large the random part is.
_STARTUP_JITTER: Final = 0.3

# Random delay that spreads the candidates once an assumed lease is cleared.
_ELECTION_JITTER_S: Final = 0.1


@final
class Core:
    """The shared state of a replica: term, vote, log, role and timers.

    Invariants: the term never decreases; a term or vote is synced before a
    message that depends on it is sent; `commit_index` never decreases.

    `leader` is the known leader of the term, or empty, and `election_at` the
    time at which a follower starts an election unless a leader's message
    arrives before. Times are in seconds of a monotonic clock.
    """

    __slots__ = (
        'commit_index',
        'election_at',
        'hard_state',
        'last_leader_contact_at',
        'leader',
        'log',
        'outbox',
        'rng',
        'role',
        'started_at',
        'timings',
        'verification',
        'vm_addresses',
    )

    def __init__(
        self,
        hard_state: HardState,
        log: RaftLog,
        timings: Timings,
        rng: random.Random,
        now: float,
    ) -> None:
        """Create a follower from the contents of its data folder.

        `rng` yields the random values of election delays and starts.
        """
        self.hard_state = hard_state
        self.log = log
        self.timings = timings
        self.rng = rng
        self.outbox = Outbox()
        self.role = Role.follower
        self.leader: ReplicaId = ''
        self.commit_index = log.snapshot.index
        self.started_at = now
        self.last_leader_contact_at = now
        self.election_at = now
        self.vm_addresses: dict[str, str] = {}
        is_empty = log.last_index == 0
        self.verification = Verification(now, is_done=is_empty)
        self.reset_election_timer(now, _STARTUP_JITTER)

    @property
    def replica(self) -> ReplicaId:
        """The identity of this replica."""
        return self.hard_state.replica

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def current_boot(self) -> Boot:
        """The record of the present start of this replica."""
        return self.hard_state.boots[self.replica]

    @property
    def next_term(self) -> int:
        """The term in which this replica would request votes."""
        return max(self.term, self.verification.highest_term) + 1

    @property
    def configuration(self) -> Configuration:
        """The latest configuration in the log, committed or not."""
        return self.log.configuration

    @property
    def other_members(self) -> tuple[ReplicaId, ...]:
        """The members other than this replica."""
        return tuple(
            member.replica
            for member in self.configuration.members
            if member.replica != self.replica
        )

    @property
    def member_boots(self) -> dict[ReplicaId, Boot]:
        """The latest known start of each member and of this replica."""
        return {
            replica: boot
            for replica, boot in self.hard_state.boots.items()
            if replica == self.replica
            or self.configuration.find_member(replica)
        }

    def is_voter(self) -> bool:
        """Return whether this replica is a voter."""
        return self.replica in self.configuration.voters

    def build_send(self, receiver: ReplicaId, message: Message) -> Send:
        """Wrap a message in an envelope for the receiver's VM."""
        return Send(
            vm_of(receiver),
            Envelope(self.replica, receiver, message),
        )

    def send_after_sync(self, receiver: ReplicaId, message: Message) -> None:
        """Queue a message, to be sent once all writes so far are synced."""
        self.outbox.send_after_sync(self.build_send(receiver, message))

    def send_at_once(self, receiver: ReplicaId, message: Message) -> None:
        """Queue a message that depends on no unsynced write of this replica."""
        self.outbox.emit(self.build_send(receiver, message))

    def change_term(self, term: int, voted_for: ReplicaId) -> int:
        """Set and persist term and vote; return the number of the `Persist`.

        `voted_for` is empty if this replica has not voted in the term.
        """
        self.hard_state = msgspec.structs.replace(
            self.hard_state,
            term=term,
            voted_for=voted_for,
        )
        return self.outbox.persist(hard_state=self.hard_state)

    def become_follower(self, term: int, leader: ReplicaId, now: float) -> None:
        """Become a follower in a term not lower than the current one.

        An empty `leader` means that the leader of the term is unknown. The
        election timer is restarted.
        """
        if term > self.term:
            self.change_term(term, '')
        self.role = Role.follower
        self.leader = leader
        if leader:
            self.last_leader_contact_at = now
        self.reset_election_timer(now)

    def reset_election_timer(self, now: float, jitter: float = 1) -> None:
        """Set the next election to one timeout plus a random delay from now.

        The delay is at most `jitter` election timeouts.
        """
        jitter = 1 + jitter * self.rng.random()
        self.election_at = now + self.timings.election_timeout_s * jitter

    def is_lease_possible(self, now: float) -> bool:
        """Return whether a leader may hold a lease granted by this replica.

        Such a lease is assumed for one election timeout after a start, since
        the time of the leader's last message is not stored.
        """
        silent_s = now - self.last_leader_contact_at
        return (
            self.role is Role.leader
            or silent_s < self.timings.election_timeout_s
        )

    def is_lease_only_assumed(self, now: float) -> bool:
        """Return whether a lease is assumed only because of a recent start.

        That is, no message of a leader has arrived since the start.
        """
        return (
            self.last_leader_contact_at == self.started_at
            and self.is_lease_possible(now)
        )

    def clear_assumed_lease(self, now: float) -> None:
        """Stop assuming a lease after a start, so that votes are allowed.

        Called once it is known that no leader holds one. Has no effect if
        something other than the start prevents votes.
        """
        if not self.is_lease_only_assumed(now):
            return
        self.last_leader_contact_at = float('-inf')
        self.election_at = min(
            self.election_at,
            now + _ELECTION_JITTER_S * self.rng.random(),
        )

    def create_boot(self) -> Boot:
        """Return the record of a new start of this replica.

        Its number is one above that of the last known start.
        """
        known = self.hard_state.boots.get(self.replica, Boot())
        return Boot(known.number + 1, self.rng.getrandbits(_NONCE_BITS))

    def record_boot(self, replica: ReplicaId, boot: Boot) -> None:
        """Record the latest start of a replica and queue its write."""
        boots = {**self.hard_state.boots, replica: boot}
        self.hard_state = msgspec.structs.replace(
            self.hard_state,
            boots=boots,
        )
        self.outbox.persist(hard_state=self.hard_state)

    def send_boot_checks(self) -> None:
        """Ask the other known members to verify this start."""
        check = BootCheck(self.current_boot, self.term, self.log.last_index)
        known = self.verification.configuration.members
        asked = {one.replica for one in known if one.replica != self.replica}
        for member in sorted(asked.union(self.other_members)):
            self.send_after_sync(member, check)

    def commit_to(self, index: int) -> None:
        """Raise the commit index to `index` and apply the new entries.

        A lower index has no effect.
        """
        if index > self.commit_index:
            entries = self.log.entries_between(self.commit_index + 1, index)
            self.commit_index = index
            self.outbox.emit(Apply(entries))
