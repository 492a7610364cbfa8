"""The state that the parts of a replica share."""

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

_NONCE_BITS: Final = 48

# After a start of the whole group nobody leads, and a tie costs little: where
# not every voter answers, no vote is given for a timeout after a start anyhow.
_START_SPREAD: Final = 0.3
_RACE_S: Final = 0.1  # seconds over which candidates spread that may begin


@final
class Core:
    """Term, vote, log, role and timers of a replica.

    Invariants: the term never falls; a term or vote is synced before a
    message that rests on it leaves; `commit_index` never falls.
    """

    __slots__ = (
        'commit_index',
        'vm_addresses',
        'election_at',
        'hard_state',
        'last_leader_contact_at',
        'leader',
        'log',
        'outbox',
        'random',
        'role',
        'started_at',
        'timings',
        'verification',
    )

    def __init__(
        self,
        hard_state: HardState,
        log: RaftLog,
        timings: Timings,
        generator: random.Random,
        now: float,
    ) -> None:
        """Create a follower from what its folder holds."""
        self.hard_state = hard_state
        self.log = log
        self.timings = timings
        self.random = generator
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
        self.reset_election_timer(now, _START_SPREAD)

    @property
    def replica(self) -> ReplicaId:
        """The identity of this replica."""
        return self.hard_state.replica

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def boot(self) -> Boot:
        """The record of this start."""
        return self.hard_state.boots[self.replica]

    @property
    def next_term(self) -> int:
        """The term in which this replica would ask for votes."""
        return max(self.term, self.verification.term) + 1

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.log.configuration

    @property
    def others(self) -> tuple[ReplicaId, ...]:
        """The other members."""
        return tuple(
            one.replica
            for one in self.configuration.members
            if one.replica != self.replica
        )

    @property
    def member_boots(self) -> dict[ReplicaId, Boot]:
        """The newest known start of each member and of this replica."""
        return {
            replica: boot
            for replica, boot in self.hard_state.boots.items()
            if replica == self.replica or self.configuration.find(replica)
        }

    def is_voter(self) -> bool:
        """Tell whether this replica votes."""
        return self.replica in self.configuration.voters

    def envelope(self, receiver: ReplicaId, message: Message) -> Send:
        """Address a message."""
        return Send(
            vm_of(receiver),
            Envelope(self.replica, receiver, message),
        )

    def send(self, receiver: ReplicaId, message: Message) -> None:
        """Send once everything issued so far is synced."""
        self.outbox.send(self.envelope(receiver, message))

    def send_at_once(self, receiver: ReplicaId, message: Message) -> None:
        """Send a message that rests on nothing unsynced here."""
        self.outbox.emit(self.envelope(receiver, message))

    def change_term(self, term: int, voted_for: ReplicaId) -> int:
        """Set term and vote; return the number of the sync."""
        self.hard_state = msgspec.structs.replace(
            self.hard_state,
            term=term,
            voted_for=voted_for,
        )
        return self.outbox.persist(hard_state=self.hard_state)

    def follow(self, term: int, leader: ReplicaId, now: float) -> None:
        """Become a follower in a term that is not lower."""
        if term > self.term:
            self.change_term(term, '')
        self.role = Role.follower
        self.leader = leader
        if leader:
            self.last_leader_contact_at = now
        self.reset_election_timer(now)

    def reset_election_timer(self, now: float, spread: float = 1) -> None:
        """Wait one election timeout from now, and a random part more."""
        spread = 1 + spread * self.random.random()
        self.election_at = now + self.timings.election_timeout_s * spread

    def is_led(self, now: float) -> bool:
        """Tell whether a leader may still rely on this replica's promise.

        Right after a start this is assumed, as the promise was forgotten.
        """
        silent_s = now - self.last_leader_contact_at
        return (
            self.role is Role.leader
            or silent_s < self.timings.election_timeout_s
        )

    def is_bound_by_start(self, now: float) -> bool:
        """Tell whether only what was forgotten at the start forbids votes."""
        return self.last_leader_contact_at == self.started_at and self.is_led(
            now
        )

    def forget_promise(self, now: float) -> None:
        """Vote, and ask for votes, at once: no leader can have a lease.

        Nothing changes where something else than the start forbids it.
        """
        if not self.is_bound_by_start(now):
            return
        self.last_leader_contact_at = float('-inf')
        self.election_at = min(
            self.election_at,
            now + _RACE_S * self.random.random(),
        )

    def new_boot(self) -> Boot:
        """Return a record for a start after the last known one."""
        known = self.hard_state.boots.get(self.replica, Boot())
        return Boot(known.number + 1, self.random.getrandbits(_NONCE_BITS))

    def record_boot(self, replica: ReplicaId, boot: Boot) -> None:
        """Remember the newest start of a replica, on disk."""
        boots = {**self.hard_state.boots, replica: boot}
        self.hard_state = msgspec.structs.replace(
            self.hard_state,
            boots=boots,
        )
        self.outbox.persist(hard_state=self.hard_state)

    def announce_boot(self) -> None:
        """Ask the other members what they know of this replica."""
        check = BootCheck(self.boot, self.term, self.log.last_index)
        known = self.verification.configuration.members
        asked = {one.replica for one in known if one.replica != self.replica}
        for member in sorted(asked.union(self.others)):
            self.send(member, check)

    def commit_to(self, index: int) -> None:
        """Commit up to an index and apply what became committed."""
        if index > self.commit_index:
            entries = self.log.entries_between(self.commit_index + 1, index)
            self.commit_index = index
            self.outbox.emit(Apply(entries))
