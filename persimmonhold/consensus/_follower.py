"""What a replica does with what a leader sends.

Invariants: entries at or below the commit index are never truncated; an
answer leaves after what it acknowledges is synced.
"""

from typing import final

from persimmonhold.consensus._actions import Restore
from persimmonhold.consensus._core import Core
from persimmonhold.consensus._log_entry import LogEntry
from persimmonhold.consensus._member import ReplicaId
from persimmonhold.consensus._messages import (
    Append,
    AppendReply,
    ChunkReply,
    SnapshotChunk,
)
from persimmonhold.consensus._snapshot import Snapshot


@final
class Follower:
    """The following part of a replica."""

    __slots__ = ('_core', '_incoming', '_incoming_key')

    def __init__(self, core: Core) -> None:
        """Create the part without a snapshot under way."""
        self._core = core
        self._incoming = bytearray()
        self._incoming_key: tuple[ReplicaId, int, int] = ('', 0, 0)

    def on_append(
        self,
        sender: ReplicaId,
        message: Append,
        now: float,
    ) -> None:
        """Store entries and answer."""
        core = self._core
        if message.term < core.term:
            self._answer(sender, message, is_success=False, index=0)
            return
        core.follow(message.term, sender, now)
        if not self._matches(message):
            index = core.log.last_index
            if index >= message.previous_index:
                index = core.commit_index
            self._answer(sender, message, is_success=False, index=index)
            return
        self._store(message.entries)
        match = message.previous_index + len(message.entries)
        core.commit_to(min(message.commit_index, match))
        self._answer(sender, message, is_success=True, index=match)

    def on_chunk(
        self,
        sender: ReplicaId,
        message: SnapshotChunk,
        now: float,
    ) -> None:
        """Collect a part of a snapshot and answer."""
        core = self._core
        if message.term < core.term:
            self._answer(sender, message, is_success=False, index=0)
            return
        core.follow(message.term, sender, now)
        if message.index <= core.commit_index:
            self._answer(
                sender,
                message,
                is_success=True,
                index=core.commit_index,
            )
            return
        self._collect(sender, message)
        if len(self._incoming) == message.total:
            self._install(message)
            self._answer(
                sender,
                message,
                is_success=True,
                index=message.index,
            )
        else:
            self._answer_chunk(sender, message)

    def _matches(self, message: Append) -> bool:
        core = self._core
        if message.previous_index <= core.commit_index:
            return True
        held = core.log.term_at(message.previous_index)
        return held == message.previous_term

    def _store(self, entries: tuple[LogEntry, ...]) -> None:
        core = self._core
        fresh = self._without_held(entries)
        if not fresh:
            return
        if fresh[0].index <= core.log.last_index:
            core.log.truncate(fresh[0].index)
        core.log.append(fresh)
        core.log.note_unsynced(core.outbox.persist(entries=fresh))

    def _without_held(
        self,
        entries: tuple[LogEntry, ...],
    ) -> tuple[LogEntry, ...]:
        core = self._core
        for position, entry in enumerate(entries):
            is_held = core.log.term_at(entry.index) == entry.term
            if entry.index > core.commit_index and not is_held:
                return entries[position:]
        return ()

    def _collect(self, sender: ReplicaId, message: SnapshotChunk) -> None:
        key = (sender, message.term, message.index)
        if key != self._incoming_key:
            self._incoming_key = key
            self._incoming.clear()
        if message.offset == len(self._incoming):
            self._incoming += message.chunk

    def _install(self, message: SnapshotChunk) -> None:
        core = self._core
        snapshot = Snapshot(
            index=message.index,
            term=message.snapshot_term,
            configuration=message.configuration,
            state=bytes(self._incoming),
        )
        self._incoming_key = ('', 0, 0)
        self._incoming.clear()
        held = core.log.term_at(message.index)
        is_reset = held != message.snapshot_term
        number = core.outbox.persist(snapshot=snapshot, is_reset=is_reset)
        if is_reset:
            core.log.reset(snapshot)
        else:
            core.log.compact(snapshot, 0)
        core.log.note_unsynced(number)
        core.commit_index = message.index
        core.outbox.emit(Restore(snapshot))

    def _answer(
        self,
        sender: ReplicaId,
        message: Append | SnapshotChunk,
        *,
        is_success: bool,
        index: int,
    ) -> None:
        core = self._core
        reply = AppendReply(
            term=core.term,
            is_success=is_success,
            index=index,
            sequence=message.sequence,
            sent_at=message.sent_at,
            boots=core.member_boots,
        )
        core.send(sender, reply)

    def _answer_chunk(
        self,
        sender: ReplicaId,
        message: SnapshotChunk,
    ) -> None:
        core = self._core
        reply = ChunkReply(
            term=core.term,
            index=message.index,
            offset=len(self._incoming),
            sequence=message.sequence,
            sent_at=message.sent_at,
            boots=core.member_boots,
        )
        core.send(sender, reply)
