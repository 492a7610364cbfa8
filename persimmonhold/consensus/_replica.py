"""A replica of the log: a Raft-family state machine without I/O.

Call one of the event methods with the present time, perform the actions of
`take_actions` in order, and call `tick` at `next_wakeup`. Times are seconds
of one clock that never goes back and runs at a like rate on every VM.
"""

import random
from typing import final

from persimmonhold.consensus._actions import Action
from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._core import Core
from persimmonhold.consensus._elections import Elections
from persimmonhold.consensus._follower import Follower
from persimmonhold.consensus._hard_state import HardState
from persimmonhold.consensus._identity import Identity
from persimmonhold.consensus._joining import Joining
from persimmonhold.consensus._leadership import Leadership
from persimmonhold.consensus._log_entry import EntryKind
from persimmonhold.consensus._member import Member, ReplicaId, vm_of
from persimmonhold.consensus._messages import (
    Append,
    AppendReply,
    BootCheck,
    BootReport,
    ChunkReply,
    Envelope,
    Hello,
    HelloReply,
    Message,
    RequestVote,
    SnapshotChunk,
    TimeoutNow,
    VoteReply,
)
from persimmonhold.consensus._raft_log import RaftLog
from persimmonhold.consensus._role import Role
from persimmonhold.consensus._snapshot import Snapshot
from persimmonhold.consensus._spare import Spare
from persimmonhold.consensus._timings import Timings


@final
class Replica:
    """One member of a group that agrees on a log.

    Invariants: at most one leader a term; a committed entry is never lost
    or changed; leases of two leaders never overlap.
    """

    __slots__ = (
        '_elections',
        '_follower',
        '_identity',
        '_retry_at',
        'core',
        'joining',
        'leadership',
        'target_voters',
    )

    def __init__(
        self,
        member: Member,
        initial_addresses: dict[str, str],
        hard_state: HardState,
        log: RaftLog,
        timings: Timings,
        generator: random.Random,
        now: float,
    ) -> None:
        """Create a replica from its folder and record this start.

        `member` is this replica and its address; `initial` holds the
        addresses of the first members by VM name. `target_voters` is the
        number of voters that the group keeps.
        """
        self.core = Core(hard_state, log, timings, generator, now)
        self.leadership: Leadership | None = None
        self.target_voters = len(initial_addresses)
        self._identity = Identity(self.core)
        self._elections = Elections(self.core)
        self._follower = Follower(self.core)
        self.joining = Joining(self.core, initial_addresses, member.address)
        self._retry_at = now
        if self.core.configuration.voters == (self.core.replica,):
            # Nobody else can answer or lead.
            self._identity.conclude(is_overdue=False)
            self.core.election_at = now

    @property
    def next_wakeup(self) -> float:
        """When `tick` is due."""
        core = self.core
        if self._identity.is_abandoned:
            return float('inf')
        if self.leadership is not None:
            return self.leadership.replicator.next_heartbeat_at
        if self.joining.is_log_empty or not core.verification.is_done:
            return min(core.election_at, self._retry_at)
        return core.election_at

    @property
    def configuration(self) -> Configuration:
        """The members in force."""
        return self.core.configuration

    @property
    def leader(self) -> ReplicaId:
        """The leader of the term, or nothing where it is unknown."""
        if self.leadership is not None:
            return self.core.replica
        return self.core.leader

    def lease_until(self, now: float) -> float:
        """Return the end of the leader's lease; minus infinity without."""
        if self.leadership is None or not self.leadership.is_established:
            return float('-inf')
        return self.leadership.lease_until(now)

    def take_actions(self) -> tuple[Action, ...]:
        """Return the actions that the last events caused, in order."""
        return self.core.outbox.take()

    def tick(self, now: float) -> None:
        """Do what is due."""
        if self._identity.is_abandoned:
            return
        if self.leadership is None:
            self._tick_follower(now)
        else:
            self.leadership.tick(now)
        self._settle(now)

    def confirm_persisted(self, number: int, now: float) -> None:
        """Learn that every `Persist` up to a number is synced."""
        self.core.outbox.confirm(number)
        self.core.log.note_synced(number)
        self._elections.on_synced(number)
        if self.leadership is not None:
            self.leadership.settle()
        self._settle(now)

    def receive(self, envelope: Envelope, now: float) -> None:
        """Handle a message; one for another incarnation is dropped."""
        core = self.core
        is_own = envelope.receiver in {'', core.replica}
        if not is_own or self._identity.is_abandoned:
            return
        if self._is_removed(envelope, now):
            self._identity.refuse_stranger(envelope.sender)
        else:
            self._dispatch(envelope.sender, envelope.message, now)
        self._settle(now)

    def propose(self, payloads: tuple[bytes, ...], now: float) -> int:
        """Append commands in the present term; return the first index.

        Returns 0 where this replica does not lead or hands over. The
        commands are committed when they are applied in this term.
        """
        if self.leadership is None or self.leadership.successor:
            return 0
        return self.leadership.append(EntryKind.command, payloads, now)

    def read(self, tokens: tuple[int, ...], now: float) -> bool:
        """Ask for `ReadReady`; False where this replica does not lead."""
        if self.leadership is None:
            return False
        self.leadership.read(tokens, now)
        return True

    def transfer_leadership(self, now: float, vm: str = '') -> ReplicaId:
        """Hand leadership to another voter; return it, or nothing.

        With `vm` only a replica of that VM is chosen.
        """
        if self.leadership is None:
            return ''
        return self.leadership.start_transfer(now, vm)

    def build_snapshot(self, index: int, state: bytes) -> Snapshot:
        """Describe the applied state after an index that is committed."""
        log = self.core.log
        return Snapshot(
            index=index,
            term=log.term_at(index) or 0,
            configuration=log.configuration_at(index),
            state=state,
        )

    def compact(self, snapshot: Snapshot, kept_entries: int) -> None:
        """Drop the log below a snapshot that is synced."""
        if snapshot.index > self.core.log.snapshot.index:
            self.core.log.compact(snapshot, kept_entries)

    def _tick_follower(self, now: float) -> None:
        core = self.core
        if now >= self._retry_at:
            self._retry(now)
        if now < core.election_at:
            return
        if self._elections.may_start():
            self._elections.start(now)
        elif core.is_voter():
            # Answers to the start are awaited, and then nobody else is.
            core.election_at = now + core.timings.heartbeat_s
        else:
            core.reset_election_timer(now)
            core.announce_boot()

    def _retry(self, now: float) -> None:
        timings = self.core.timings
        if self.joining.is_log_empty:
            self._retry_at = now + timings.election_timeout_s
            self.joining.tick(now)
        else:
            self._retry_at = now + timings.heartbeat_s
            self._identity.verify(now)

    def _settle(self, now: float) -> None:
        """Begin or end leading after the events were handled."""
        core = self.core
        if self.leadership is not None and core.role is not Role.leader:
            self.leadership.fail_reads()
            self.leadership = None
        if self._elections.is_won():
            core.role = Role.leader
            self.leadership = Leadership(core, self.target_voters, now)

    def _is_removed(self, envelope: Envelope, now: float) -> bool:
        """Tell whether the group has removed a sender that asks to act.

        Only a leader whose lease holds knows the newest configuration.
        """
        if self.lease_until(now) <= now:
            return False
        asks = isinstance(envelope.message, RequestVote | BootCheck)
        is_known = self.configuration.find(envelope.sender) is not None
        return asks and not is_known

    def _dispatch(
        self,
        sender: ReplicaId,
        message: Message,
        now: float,
    ) -> None:
        match message:
            case Append():
                self._follower.on_append(sender, message, now)
            case SnapshotChunk():
                self._follower.on_chunk(sender, message, now)
            case AppendReply() | ChunkReply():
                self._on_progress(sender, message, now)
            case RequestVote():
                self._elections.on_request(sender, message, now)
            case VoteReply():
                self._elections.on_reply(sender, message, now)
            case TimeoutNow():
                self._on_timeout_now(message, now)
            case _:
                self._on_membership(sender, message, now)

    def _on_membership(
        self,
        sender: ReplicaId,
        message: Message,
        now: float,
    ) -> None:
        match message:
            case BootCheck():
                self._on_boot_check(sender, message, now)
            case BootReport():
                self._identity.on_report(sender, message, now)
            case Hello():
                self.joining.on_hello(sender, message)
                self._note_spare(sender, message, now)
            case HelloReply():
                self.joining.on_reply(sender, message)

    def _on_boot_check(
        self,
        sender: ReplicaId,
        message: BootCheck,
        now: float,
    ) -> None:
        self._identity.on_check(
            sender,
            message,
            self.leadership,
            is_lease_held=self.lease_until(now) > now,
        )

    def _on_progress(
        self,
        sender: ReplicaId,
        message: AppendReply | ChunkReply,
        now: float,
    ) -> None:
        if message.term > self.core.term:
            self.core.follow(message.term, '', now)
        elif self.leadership is None:
            return
        elif isinstance(message, AppendReply):
            self.leadership.on_append_reply(sender, message, now)
        else:
            self.leadership.on_chunk_reply(sender, message, now)

    def _on_timeout_now(self, message: TimeoutNow, now: float) -> None:
        is_current = message.term == self.core.term
        is_follower = self.leadership is None
        if is_current and is_follower and self._elections.may_start():
            self._elections.stand(now, is_transfer=True)

    def _note_spare(
        self,
        sender: ReplicaId,
        message: Hello,
        now: float,
    ) -> None:
        if self.leadership is not None:
            spare = Spare(sender, message.address, now)
            self.leadership.spares[vm_of(sender)] = spare
