"""What a leader does during its term.

Invariants: only entries of the current term are committed by counting
replicas, and a replica counts only once the entry is synced there; the lease
ends before the voters that granted it may elect another leader; membership
changes one at a time, and only after an entry of the current term is
committed.
"""

from typing import final

import msgspec

from persimmonhold.consensus._actions import ReadReady, ReadsFailed
from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._core import Core
from persimmonhold.consensus._group_health import GroupHealth
from persimmonhold.consensus._log_entry import EntryKind, LogEntry
from persimmonhold.consensus._member import ReplicaId, vm_of
from persimmonhold.consensus._messages import (
    AppendReply,
    ChunkReply,
    TimeoutNow,
)
from persimmonhold.consensus._pending_read import PendingRead
from persimmonhold.consensus._progress import Progress
from persimmonhold.consensus._repair import (
    choose_membership_change,
    is_voter_being_replaced,
)
from persimmonhold.consensus._replicator import Replicator
from persimmonhold.consensus._spare import Spare


@final
class Leadership:
    """The state of a leader, for one term.

    `successor` is the voter to which leadership is being transferred, or
    empty; `has_sent_timeout_now` tells that it was told to start its
    election. `spares` holds the last `Hello` of empty replicas by VM name.
    `round_commit_index` is the commit index when the last due heartbeat was
    sent, but at least `term_start_index`, the index of the first entry of the
    term: a leader that has just restarted does not know what is committed.
    The term began at `began_at`; membership and timeouts are checked next at
    `next_check_at`, whether or not heartbeats are due: entries replace them.
    """

    __slots__ = (
        '_core',
        '_reads',
        '_target_voters',
        '_timeout_starts_at',
        'began_at',
        'has_sent_timeout_now',
        'next_check_at',
        'replicator',
        'round_commit_index',
        'spares',
        'successor',
        'term_start_index',
    )

    def __init__(self, core: Core, target_voters: int, now: float) -> None:
        """Begin the term: append its first, empty entry and replicate it.

        `target_voters` is the number of voters that the group maintains.
        """
        self._core = core
        self._timeout_starts_at = now
        self.began_at = now
        self.next_check_at = now
        self._target_voters = target_voters
        self._reads: list[PendingRead] = []
        self.replicator = Replicator(core, now)
        self.has_sent_timeout_now = False
        self.successor: ReplicaId = ''
        self.spares: dict[str, Spare] = {}
        self.term_start_index = core.log.last_index + 1
        self.round_commit_index = self.term_start_index
        self.append(EntryKind.empty, (b'',), now)

    @property
    def next_wakeup(self) -> float:
        """The time at which `tick` is due."""
        return min(self.next_check_at, self.replicator.next_heartbeat_at)

    @property
    def is_established(self) -> bool:
        """Whether an entry of the current term is committed."""
        return self._core.commit_index >= self.term_start_index

    def is_short_of_voters(self, now: float) -> bool:
        """Return whether voters are missing and replicas may join soon.

        A voter is missing, too, if its VM has come back without its disk. Until
        the others have joined, the group survives the loss of fewer disks than
        it is meant to. Replicas that ask to join are known two election
        timeouts after a term began.
        """
        core = self._core
        health = self._build_group_health(now)
        if len(core.configuration.voters) >= self._target_voters:
            is_pending = core.log.configuration_index > core.commit_index
            return is_pending or is_voter_being_replaced(health)
        has_live_learner = any(
            health.silence_s[one.replica] < health.live_within_s
            for one in core.configuration.members
            if not one.is_voter
        )
        is_new = now - self.began_at < 2 * core.timings.election_timeout_s
        return is_new or has_live_learner or bool(health.spares)

    def lease_until(self, now: float) -> float:
        """Return the time at which the lease of this leader ends.

        It is minus infinity once the successor was told to start its election.
        """
        if self.has_sent_timeout_now:
            return float('-inf')
        timings = self._core.timings
        contact_at = min(self.replicator.quorum_contact_at, now)
        return contact_at + timings.election_timeout_s * timings.lease_fraction

    def record_spare(
        self, replica: ReplicaId, address: str, now: float
    ) -> None:
        """Record the `Hello` of an empty replica."""
        known = self.spares.get(vm_of(replica))
        is_known = known is not None and known.replica == replica
        since = known.waiting_since if known and is_known else now
        self.spares[vm_of(replica)] = Spare(replica, address, now, since)

    def append(
        self,
        kind: EntryKind,
        payloads: tuple[bytes, ...],
        now: float,
    ) -> int:
        """Append entries and replicate them; return the first index."""
        core = self._core
        first = core.log.last_index + 1
        entries = tuple(
            LogEntry(first + offset, core.term, kind, payload)
            for offset, payload in enumerate(payloads)
        )
        core.log.append(entries)
        core.log.record_pending_sync(core.outbox.persist(entries=entries))
        self.replicator.update_members(now)
        self.replicator.broadcast(now)
        return first

    def append_configuration(self, changed: Configuration, now: float) -> None:
        """Append and replicate a configuration, which takes effect at once."""
        payload = msgspec.msgpack.encode(changed)
        self.append(EntryKind.configuration, (payload,), now)

    def queue_reads(self, tokens: tuple[int, ...], now: float) -> None:
        """Queue reads and start a heartbeat round that confirms leadership.

        `tokens` identify the reads in `ReadReady` and `ReadsFailed`.
        """
        index = max(self._core.commit_index, self.term_start_index)
        self._reads.append(
            PendingRead(self.replicator.sequence + 1, index, tokens)
        )
        self.replicator.broadcast(now)
        self.advance_commit_index()

    def fail_reads(self) -> None:
        """Emit `ReadsFailed` for all pending reads; leadership has ended."""
        tokens = tuple(token for read in self._reads for token in read.tokens)
        self._reads = []
        if tokens:
            self._core.outbox.emit(ReadsFailed(tokens))

    def on_append_reply(
        self,
        sender: ReplicaId,
        message: AppendReply,
        now: float,
    ) -> None:
        """Handle the reply of a member to an `Append`.

        Updates the progress of the member and the commit index, then sends
        what the member still lacks or completes a leadership transfer.
        """
        progress = self.replicator.record_reply(sender, message, now)
        if progress is None:
            return
        if message.is_success:
            progress.match_index = max(progress.match_index, message.index)
            progress.next_index = max(
                progress.next_index,
                progress.match_index + 1,
            )
        else:
            progress.next_index = max(progress.match_index, message.index) + 1
        self.advance_commit_index()
        if self._try_reserve_send(progress, message):
            self.replicator.replicate_to(sender, now)
        self._send_timeout_now_if_caught_up(now)

    def on_chunk_reply(
        self,
        sender: ReplicaId,
        message: ChunkReply,
        now: float,
    ) -> None:
        """Handle the reply of a member to a snapshot chunk: send the next.

        A reply about an earlier snapshot is ignored.
        """
        progress = self.replicator.record_reply(sender, message, now)
        if progress is None or message.index != self._core.log.snapshot.index:
            return
        self.advance_commit_index()
        if message.offset != progress.snapshot_offset:
            progress.snapshot_offset = message.offset
            self.replicator.replicate_to(sender, now)

    def advance_commit_index(self) -> None:
        """Commit entries that a quorum has synced, then confirm reads.

        Only entries of the current term are committed by this count.
        """
        core = self._core
        index = self.replicator.quorum_synced_index
        if core.log.term_at(index) == core.term:
            core.commit_to(index)
        self._confirm_reads()

    def tick(self, now: float) -> None:
        """Step down on a timeout, else start a heartbeat round if due.

        A timeout means that a quorum, or the successor of a transfer, did not
        respond. Once in each heartbeat interval, the membership is changed if
        it needs repair.
        """
        core = self._core
        if self._check_timeouts(now):
            core.become_follower(core.term, '', now)
            return
        if now >= self.next_check_at:
            self.next_check_at = now + core.timings.heartbeat_s
            self._repair_membership(now)
        if now >= self.replicator.next_heartbeat_at:
            self.replicator.broadcast(now)
            self.advance_commit_index()

    def start_transfer(self, now: float, vm: str = '') -> ReplicaId:
        """Start a transfer of leadership to the most up-to-date live voter.

        Returns the voter, or an empty string if there is none. With `vm`,
        only a replica of that VM is eligible.
        """
        core = self._core
        live = [
            voter
            for voter in core.configuration.voters
            if voter in self.replicator.progress
            and self._is_live(voter, now)
            and vm in {'', vm_of(voter)}
        ]
        if not live or not self.is_established:
            return ''
        self.successor = max(
            live,
            key=lambda replica: self.replicator.progress[replica].match_index,
        )
        self._timeout_starts_at = now
        self._send_timeout_now_if_caught_up(now)
        return self.successor

    def _try_reserve_send(
        self, progress: Progress, message: AppendReply
    ) -> bool:
        """Return whether to send to a member at once after its reply.

        A rejection uses up the one retry of the heartbeat round.
        """
        if message.is_success:
            return progress.next_index <= self._core.log.last_index
        if progress.last_retry_sequence == self.replicator.sequence:
            return False
        progress.last_retry_sequence = self.replicator.sequence
        return True

    def _check_timeouts(self, now: float) -> bool:
        """Return whether the quorum or the successor has timed out.

        If the successor timed out before it was sent `TimeoutNow`, only the
        transfer is cancelled and False is returned, unless the quorum has
        timed out as well.
        """
        timeout_s = self._core.timings.election_timeout_s
        if self.successor and now >= self._timeout_starts_at + timeout_s:
            if self.has_sent_timeout_now:
                return True
            self.successor = ''
        return (
            now
            >= max(self.replicator.quorum_contact_at, self._timeout_starts_at)
            + timeout_s
        )

    def _is_live(self, replica: ReplicaId, now: float) -> bool:
        silent_s = now - self.replicator.progress[replica].last_reply_at
        return silent_s < self._core.timings.election_timeout_s

    def _send_timeout_now_if_caught_up(self, now: float) -> None:
        progress = self.replicator.progress.get(self.successor)
        if progress is None or self.has_sent_timeout_now:
            return
        if progress.match_index == self._core.log.last_index:
            # The lease is given up for good, since the message may be delayed
            # and the successor may win an election at any time after it.
            self.has_sent_timeout_now = True
            self._core.send_after_sync(
                self.successor, TimeoutNow(self._core.term)
            )

    def _confirm_reads(self) -> None:
        core = self._core
        sequence = self.replicator.confirmed_sequence
        waiting: list[PendingRead] = []
        for read in self._reads:
            is_known = read.index <= core.commit_index
            if read.sequence <= sequence and is_known:
                core.outbox.emit(ReadReady(read.tokens, read.index))
            else:
                waiting.append(read)
        self._reads = waiting

    def _repair_membership(self, now: float) -> None:
        core = self._core
        is_pending = core.log.configuration_index > core.commit_index
        if self.is_established and not is_pending and not self.successor:
            changed = choose_membership_change(self._build_group_health(now))
            if changed is not None:
                self.append_configuration(changed, now)
        self.round_commit_index = max(core.commit_index, self.term_start_index)

    def _build_group_health(self, now: float) -> GroupHealth:
        core = self._core
        timings = core.timings
        silence_s = {
            replica: now - one.last_reply_at
            for replica, one in self.replicator.progress.items()
        }
        silence_s[core.replica] = 0
        caught_up = frozenset(
            replica
            for replica, one in self.replicator.progress.items()
            if one.match_index >= self.round_commit_index
        )
        # A replica that asks to join sends `Hello` every election timeout.
        max_spare_age_s = timings.election_timeout_s * 4
        spares = tuple(
            one
            for one in self.spares.values()
            if now - one.last_hello_at < max_spare_age_s
            and core.configuration.find_member(one.replica) is None
        )
        return GroupHealth(
            now=now,
            leader=core.replica,
            configuration=core.configuration,
            target_voters=self._target_voters,
            silence_s=silence_s,
            caught_up=caught_up,
            spares=spares,
            waiting_since={
                one.replica: one.waiting_since for one in self.spares.values()
            },
            live_within_s=timings.election_timeout_s,
            replacement_timeout_s=timings.replacement_timeout_s,
        )
