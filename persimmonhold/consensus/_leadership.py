"""What a leader does in its term.

Invariants: only entries of the own term are committed by counting, each
counted where it is synced; the lease ends before the voters that granted
it may elect another; one membership change at a time, after an entry of
the own term is committed.
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
from persimmonhold.consensus._repair import choose_membership_change
from persimmonhold.consensus._replicator import Replicator
from persimmonhold.consensus._spare import Spare


@final
class Leadership:
    """The leading part of a replica, for one term."""

    __slots__ = (
        '_core',
        '_reads',
        '_since',
        '_target_voters',
        'is_handing_over',
        'replicator',
        'round_commit',
        'spares',
        'successor',
        'term_index',
    )

    def __init__(self, core: Core, target_voters: int, now: float) -> None:
        """Start a term: append its first entry and announce it."""
        self._core = core
        self._since = now
        self._target_voters = target_voters
        self._reads: list[PendingRead] = []
        self.replicator = Replicator(core, now)
        self.is_handing_over = False
        self.successor: ReplicaId = ''
        self.spares: dict[str, Spare] = {}
        self.round_commit = core.commit_index
        self.term_index = core.log.last_index + 1
        self.append(EntryKind.empty, (b'',), now)

    @property
    def is_established(self) -> bool:
        """Tell whether an entry of the own term is committed."""
        return self._core.commit_index >= self.term_index

    def lease_until(self, now: float) -> float:
        """Return the end of the lease; never while handing over."""
        if self.is_handing_over:
            return float('-inf')
        timings = self._core.timings
        contact_at = min(self.replicator.contact_at, now)
        return contact_at + timings.election_timeout_s * timings.lease_fraction

    def append(
        self,
        kind: EntryKind,
        payloads: tuple[bytes, ...],
        now: float,
    ) -> int:
        """Append entries and send them; return the first index."""
        core = self._core
        first = core.log.last_index + 1
        entries = tuple(
            LogEntry(first + offset, core.term, kind, payload)
            for offset, payload in enumerate(payloads)
        )
        core.log.append(entries)
        core.log.note_unsynced(core.outbox.persist(entries=entries))
        self.replicator.know_members(now)
        self.replicator.broadcast(now)
        return first

    def change_members(self, changed: Configuration, now: float) -> None:
        """Append a configuration."""
        payload = msgspec.msgpack.encode(changed)
        self.append(EntryKind.configuration, (payload,), now)

    def read(self, tokens: tuple[int, ...], now: float) -> None:
        """Confirm leadership by a round that starts after the reads."""
        index = max(self._core.commit_index, self.term_index)
        self._reads.append(
            PendingRead(self.replicator.sequence + 1, index, tokens)
        )
        self.replicator.broadcast(now)
        self.settle()

    def fail_reads(self) -> None:
        """Tell the readers that leadership ended."""
        tokens = tuple(token for one in self._reads for token in one.tokens)
        self._reads = []
        if tokens:
            self._core.outbox.emit(ReadsFailed(tokens))

    def on_append_reply(
        self,
        sender: ReplicaId,
        message: AppendReply,
        now: float,
    ) -> None:
        """Take the answer of a member to entries."""
        progress = self.replicator.answered(sender, message, now)
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
        self.settle()
        if self._wants_more(progress, message):
            self.replicator.send_to(sender, now)
        self._hand_over(now)

    def on_chunk_reply(
        self,
        sender: ReplicaId,
        message: ChunkReply,
        now: float,
    ) -> None:
        """Take the answer of a member to a part of the snapshot."""
        progress = self.replicator.answered(sender, message, now)
        if progress is None or message.index != self._core.log.snapshot.index:
            return
        self.settle()
        if message.offset != progress.offset:
            progress.offset = message.offset
            self.replicator.send_to(sender, now)

    def settle(self) -> None:
        """Commit what a quorum has synced and confirm reads."""
        core = self._core
        index = self.replicator.synced_index
        if core.log.term_at(index) == core.term:
            core.commit_to(index)
        self._confirm_reads()

    def tick(self, now: float) -> None:
        """Step down without a quorum, else send a due heartbeat."""
        core = self._core
        if self._is_over(now):
            core.follow(core.term, '', now)
        elif now >= self.replicator.next_heartbeat_at:
            self._repair(now)
            self.replicator.broadcast(now)
            self.settle()

    def start_transfer(self, now: float, vm: str = '') -> ReplicaId:
        """Choose the most up-to-date live voter; return it or nothing.

        With `vm` only a replica of that VM is chosen.
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
            live, key=lambda one: self.replicator.progress[one].match_index
        )
        self._since = now
        self._hand_over(now)
        return self.successor

    def _wants_more(self, progress: Progress, message: AppendReply) -> bool:
        if message.is_success:
            return progress.next_index <= self._core.log.last_index
        if progress.probed_sequence == self.replicator.sequence:
            return False
        progress.probed_sequence = self.replicator.sequence
        return True

    def _is_over(self, now: float) -> bool:
        """Tell whether the quorum or the named successor stays silent."""
        timeout_s = self._core.timings.election_timeout_s
        if self.successor and now >= self._since + timeout_s:
            if self.is_handing_over:
                return True
            self.successor = ''
        return now >= max(self.replicator.contact_at, self._since) + timeout_s

    def _is_live(self, replica: ReplicaId, now: float) -> bool:
        silent_s = now - self.replicator.progress[replica].last_reply_at
        return silent_s < self._core.timings.election_timeout_s

    def _hand_over(self, now: float) -> None:
        progress = self.replicator.progress.get(self.successor)
        if progress is None or self.is_handing_over:
            return
        if progress.match_index == self._core.log.last_index:
            # The lease ends here for good: the message may arrive late.
            self.is_handing_over = True
            self._core.send(self.successor, TimeoutNow(self._core.term))

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

    def _repair(self, now: float) -> None:
        core = self._core
        is_pending = core.log.configuration_index > core.commit_index
        if self.is_established and not is_pending and not self.successor:
            changed = choose_membership_change(self._health(now))
            if changed is not None:
                self.change_members(changed, now)
        self.round_commit = core.commit_index

    def _health(self, now: float) -> GroupHealth:
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
            if one.match_index >= self.round_commit
        )
        fresh_s = timings.election_timeout_s * 4
        spares = tuple(
            one
            for one in self.spares.values()
            if now - one.last_hello_at < fresh_s
            and core.configuration.find(one.replica) is None
        )
        return GroupHealth(
            leader=core.replica,
            configuration=core.configuration,
            target_voters=self._target_voters,
            silence_s=silence_s,
            caught_up=caught_up,
            spares=spares,
            live_within_s=timings.election_timeout_s,
            replacement_timeout_s=timings.replacement_timeout_s,
        )
