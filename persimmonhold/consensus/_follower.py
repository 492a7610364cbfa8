"""Handles log entries and snapshots sent by the leader.

Invariants: entries at or below the commit index are never truncated; a
reply is sent only after the data that it acknowledges is synced.
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
    """Replicates the log and snapshots of the leader to this replica."""

    __slots__ = ('_core', '_received_key', '_received_state')

    def __init__(self, core: Core) -> None:
        """Create the follower state; no snapshot transfer is in progress."""
        self._core = core
        self._received_state = bytearray()
        self._received_key: tuple[ReplicaId, int, int] = ('', 0, 0)

    def on_append(
        self,
        sender: ReplicaId,
        message: Append,
        now: float,
    ) -> None:
        """Store the entries if the log matches, commit, and reply.

        On a mismatch the reply carries the index after which the leader
        should try next. A message of an older term is rejected.
        """
        core = self._core
        if message.term < core.term:
            self._send_append_reply(sender, message, is_success=False, index=0)
            return
        core.become_follower(message.term, sender, now)
        if not self._has_previous_entry(message):
            index = core.log.last_index
            if index >= message.previous_index:
                index = core.commit_index
            self._send_append_reply(
                sender, message, is_success=False, index=index
            )
            return
        self._store_entries(message.entries)
        match_index = message.previous_index + len(message.entries)
        core.commit_to(min(message.commit_index, match_index))
        self._send_append_reply(
            sender, message, is_success=True, index=match_index
        )

    def on_snapshot_chunk(
        self,
        sender: ReplicaId,
        message: SnapshotChunk,
        now: float,
    ) -> None:
        """Collect a chunk, install the snapshot once complete, and reply.

        A snapshot that covers only entries committed here is skipped.
        """
        core = self._core
        if message.term < core.term:
            self._send_append_reply(sender, message, is_success=False, index=0)
            return
        core.become_follower(message.term, sender, now)
        if message.index <= core.commit_index:
            self._send_append_reply(
                sender,
                message,
                is_success=True,
                index=core.commit_index,
            )
            return
        self._collect_chunk(sender, message)
        if len(self._received_state) == message.total:
            self._install_snapshot(message)
            self._send_append_reply(
                sender,
                message,
                is_success=True,
                index=message.index,
            )
        else:
            self._send_chunk_reply(sender, message)

    def _has_previous_entry(self, message: Append) -> bool:
        core = self._core
        if message.previous_index <= core.commit_index:
            return True
        stored_term = core.log.term_at(message.previous_index)
        return stored_term == message.previous_term

    def _store_entries(self, entries: tuple[LogEntry, ...]) -> None:
        core = self._core
        new_entries = self._skip_stored_entries(entries)
        if not new_entries:
            return
        if new_entries[0].index <= core.log.last_index:
            core.log.truncate(new_entries[0].index)
        core.log.append(new_entries)
        core.log.record_pending_sync(core.outbox.persist(entries=new_entries))

    def _skip_stored_entries(
        self,
        entries: tuple[LogEntry, ...],
    ) -> tuple[LogEntry, ...]:
        core = self._core
        for position, entry in enumerate(entries):
            is_stored = core.log.term_at(entry.index) == entry.term
            if entry.index > core.commit_index and not is_stored:
                return entries[position:]
        return ()

    def _collect_chunk(self, sender: ReplicaId, message: SnapshotChunk) -> None:
        key = (sender, message.term, message.index)
        if key != self._received_key:
            self._received_key = key
            self._received_state.clear()
        if message.offset == len(self._received_state):
            self._received_state += message.chunk

    def _install_snapshot(self, message: SnapshotChunk) -> None:
        core = self._core
        snapshot = Snapshot(
            index=message.index,
            term=message.snapshot_term,
            configuration=message.configuration,
            state=bytes(self._received_state),
        )
        self._received_key = ('', 0, 0)
        self._received_state.clear()
        held = core.log.term_at(message.index)
        is_reset = held != message.snapshot_term
        number = core.outbox.persist(snapshot=snapshot, is_reset=is_reset)
        if is_reset:
            core.log.replace_with_snapshot(snapshot)
        else:
            core.log.compact(snapshot, 0)
        core.log.record_pending_sync(number)
        core.commit_index = message.index
        core.outbox.emit(Restore(snapshot))

    def _send_append_reply(
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
        core.send_after_sync(sender, reply)

    def _send_chunk_reply(
        self,
        sender: ReplicaId,
        message: SnapshotChunk,
    ) -> None:
        core = self._core
        reply = ChunkReply(
            term=core.term,
            index=message.index,
            offset=len(self._received_state),
            sequence=message.sequence,
            sent_at=message.sent_at,
            boots=core.member_boots,
        )
        core.send_after_sync(sender, reply)
