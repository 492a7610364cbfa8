"""A replica of the log: a Raft-family state machine without I/O.

The host process calls the method for each event with the current time, then
performs the actions from `take_actions` in order, and calls `tick` at
`next_wakeup`. Times are in seconds of a monotonic clock that runs at nearly
the same rate on every VM.
"""

import math
import random
from typing import final

from persimmonhold.consensus._actions import Action
from persimmonhold.consensus._boot_checks import BootChecks
from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._core import Core
from persimmonhold.consensus._elections import Elections
from persimmonhold.consensus._follower import Follower
from persimmonhold.consensus._group_joiner import GroupJoiner
from persimmonhold.consensus._hard_state import HardState
from persimmonhold.consensus._leadership import Leadership
from persimmonhold.consensus._log_entry import EntryKind
from persimmonhold.consensus._member import Member, ReplicaId
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
from persimmonhold.consensus._timings import Timings


@final
class Replica:
    """One member of a group that replicates a log by consensus.

    Invariants: at most one leader per term; a committed entry is never lost
    or changed; the leases of two leaders never overlap.
    """

    __slots__ = (
        '_boot_checks',
        '_elections',
        '_follower',
        '_startup_retry_at',
        'core',
        'joiner',
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
        rng: random.Random,
        now: float,
    ) -> None:
        """Create a replica from recovered data and persist this start.

        `member` is this replica and its address; `initial_addresses` holds
        the addresses of the initial members by VM name. `target_voters` is
        the number of voters that the group maintains.
        """
        self.core = Core(hard_state, log, timings, rng, now)
        self.leadership: Leadership | None = None
        self.target_voters = len(initial_addresses)
        self._boot_checks = BootChecks(self.core)
        self._elections = Elections(self.core)
        self._follower = Follower(self.core)
        self.joiner = GroupJoiner(self.core, initial_addresses, member.address)
        self._startup_retry_at = now
        if self.core.configuration.voters == (self.core.replica,):
            # The only voter: no other replica can answer or lead.
            self._boot_checks.try_complete_verification(is_overdue=False)
            self.core.election_at = now

    @property
    def next_wakeup(self) -> float:
        """The time at which `tick` is due; infinity if the identity is void."""
        core = self.core
        if self._boot_checks.is_identity_void:
            return float('inf')
        if self.leadership is not None:
            return self.leadership.next_wakeup
        if self.joiner.is_log_empty or not core.verification.is_done:
            return min(core.election_at, self._startup_retry_at)
        return core.election_at

    @property
    def configuration(self) -> Configuration:
        """The latest configuration in the log, committed or not."""
        return self.core.configuration

    @property
    def leader(self) -> ReplicaId:
        """The leader of the term, or an empty string if it is unknown."""
        if self.leadership is not None:
            return self.core.replica
        return self.core.leader

    def lease_until(self, now: float) -> float:
        """Return the time at which this leader's lease ends.

        It is minus infinity if this replica does not lead or has no lease.
        """
        if self.leadership is None or not self.leadership.is_established:
            return float('-inf')
        return self.leadership.lease_until(now)

    def take_actions(self) -> tuple[Action, ...]:
        """Return the actions queued since the last call, in order."""
        return self.core.outbox.take_actions()

    def tick(self, now: float) -> None:
        """Handle the timers that are due."""
        if self._boot_checks.is_identity_void:
            return
        if self.leadership is None:
            self._tick_follower(now)
        else:
            self.leadership.tick(now)
        self._update_leadership(now)

    def confirm_persisted(self, number: int, now: float) -> None:
        """Handle that every `Persist` up to `number` is synced.

        Releases the messages that waited for it and counts this replica's own
        vote and log entries towards a quorum.
        """
        self.core.outbox.confirm_persisted(number)
        self.core.log.record_sync_completion(number)
        self._elections.on_synced(number)
        if self.leadership is not None:
            self.leadership.advance_commit_index()
        self._update_leadership(now)

    def receive(self, envelope: Envelope, now: float) -> None:
        """Handle a message of another replica.

        A message for another incarnation of this VM is dropped.
        """
        core = self.core
        is_own = envelope.receiver in {'', core.replica}
        if not is_own or self._boot_checks.is_identity_void:
            return
        if self._is_removed(envelope, now):
            self._boot_checks.reject_removed_replica(envelope.sender)
        else:
            self._dispatch_message(envelope.sender, envelope.message, now)
        self._update_leadership(now)

    def propose(self, payloads: tuple[bytes, ...], now: float) -> int:
        """Append commands in the current term; return the first index.

        Returns 0 if this replica does not lead or is transferring its
        leadership. A command is committed if the entry that is applied at
        its index has this term.
        """
        if self.leadership is None or self.leadership.successor:
            return 0
        return self.leadership.append(EntryKind.command, payloads, now)

    def request_reads(self, tokens: tuple[int, ...], now: float) -> bool:
        """Request that reads be confirmed by `ReadReady` or `ReadsFailed`.

        `tokens` are chosen by the caller and identify the reads. Returns
        False if this replica does not lead.
        """
        if self.leadership is None:
            return False
        self.leadership.queue_reads(tokens, now)
        return True

    def transfer_leadership(self, now: float, vm: str = '') -> ReplicaId:
        """Start a transfer of leadership to another voter.

        Returns that voter, or an empty string if none is eligible or this
        replica does not lead. With `vm`, only a replica of that VM is
        eligible.
        """
        if self.leadership is None:
            return ''
        return self.leadership.start_transfer(now, vm)

    def build_snapshot(self, index: int, state: bytes) -> Snapshot:
        """Return a snapshot of the state applied up to a committed index."""
        log = self.core.log
        return Snapshot(
            index=index,
            term=log.term_at(index) or 0,
            configuration=log.configuration_at(index),
            state=state,
        )

    def compact(
        self,
        snapshot: Snapshot,
        kept_entries: int,
        kept_bytes: float = math.inf,
    ) -> None:
        """Compact the log to a snapshot that is already synced."""
        if snapshot.index >= self.core.log.snapshot.index:
            self.core.log.compact(snapshot, kept_entries, kept_bytes)

    def _tick_follower(self, now: float) -> None:
        core = self.core
        if now >= self._startup_retry_at:
            self._retry_startup(now)
        if now < core.election_at:
            return
        if self._elections.can_start_election():
            self._elections.start_pre_vote(now)
        elif core.is_voter():
            # The verification of this start does not allow an election yet.
            # Check again soon: once the answers are in, there is nothing else
            # to wait for.
            core.election_at = now + core.timings.heartbeat_s
        else:
            core.reset_election_timer(now)
            core.send_boot_checks()

    def _retry_startup(self, now: float) -> None:
        timings = self.core.timings
        if self.joiner.is_log_empty:
            self._startup_retry_at = now + timings.election_timeout_s
            self.joiner.tick(now)
        else:
            self._startup_retry_at = now + timings.heartbeat_s
            self._boot_checks.retry_verification(now)

    def _update_leadership(self, now: float) -> None:
        """Begin leadership if elected; end it if this is no longer leader."""
        core = self.core
        if self.leadership is not None and core.role is not Role.leader:
            self.leadership.fail_reads()
            self.leadership = None
        if self._elections.has_won():
            core.role = Role.leader
            self.leadership = Leadership(core, self.target_voters, now)

    def _is_removed(self, envelope: Envelope, now: float) -> bool:
        """Return whether a removed replica requests a vote or boot check.

        Only a leader with a valid lease knows the latest configuration.
        """
        if self.lease_until(now) <= now:
            return False
        is_request = isinstance(envelope.message, RequestVote | BootCheck)
        is_known = self.configuration.find_member(envelope.sender) is not None
        return is_request and not is_known

    def _dispatch_message(
        self,
        sender: ReplicaId,
        message: Message,
        now: float,
    ) -> None:
        match message:
            case Append():
                self._follower.on_append(sender, message, now)
            case SnapshotChunk():
                self._follower.on_snapshot_chunk(sender, message, now)
            case AppendReply() | ChunkReply():
                self._on_replication_reply(sender, message, now)
            case RequestVote():
                self._elections.on_vote_request(sender, message, now)
            case VoteReply():
                self._elections.on_vote_reply(sender, message, now)
            case TimeoutNow():
                self._on_timeout_now(message, now)
            case _:
                self._dispatch_membership_message(sender, message, now)

    def _dispatch_membership_message(
        self,
        sender: ReplicaId,
        message: Message,
        now: float,
    ) -> None:
        match message:
            case BootCheck():
                self._on_boot_check(sender, message, now)
            case BootReport():
                self._boot_checks.on_boot_report(sender, message, now)
            case Hello():
                self.joiner.on_hello(sender, message)
                self._record_spare(sender, message, now)
            case HelloReply():
                self.joiner.on_hello_reply(sender, message)

    def _on_boot_check(
        self,
        sender: ReplicaId,
        message: BootCheck,
        now: float,
    ) -> None:
        self._boot_checks.on_boot_check(
            sender,
            message,
            self.leadership,
            is_lease_held=self.lease_until(now) > now,
        )

    def _on_replication_reply(
        self,
        sender: ReplicaId,
        message: AppendReply | ChunkReply,
        now: float,
    ) -> None:
        if message.term > self.core.term:
            self.core.become_follower(message.term, '', now)
        elif self.leadership is None:
            return
        elif isinstance(message, AppendReply):
            self.leadership.on_append_reply(sender, message, now)
        else:
            self.leadership.on_chunk_reply(sender, message, now)

    def _on_timeout_now(self, message: TimeoutNow, now: float) -> None:
        is_current = message.term == self.core.term
        is_follower = self.leadership is None
        if is_current and is_follower and self._elections.can_start_election():
            self._elections.start_election(now, is_transfer=True)

    def _record_spare(
        self,
        sender: ReplicaId,
        message: Hello,
        now: float,
    ) -> None:
        if self.leadership is not None:
            self.leadership.record_spare(sender, message.address, now)
