"""Sends the log to the other members and tracks how far each has it.

Invariant: nothing that a member acknowledged before its newest known start
is counted, since its disk may have come back older.
"""

from typing import Final, final

from persimmonhold.consensus._boot import Boot
from persimmonhold.consensus._core import Core
from persimmonhold.consensus._log_entry import LogEntry
from persimmonhold.consensus._member import ReplicaId
from persimmonhold.consensus._messages import (
    Append,
    AppendReply,
    ChunkReply,
    SnapshotChunk,
)
from persimmonhold.consensus._progress import Progress

_ALWAYS: Final = float('inf')


@final
class Replicator:
    """The sending part of a leader."""

    __slots__ = ('_core', 'next_heartbeat_at', 'progress', 'sequence')

    def __init__(self, core: Core, now: float) -> None:
        """Create the part; the first round is due at once."""
        self._core = core
        self.next_heartbeat_at = now
        self.sequence = 0
        self.progress: dict[ReplicaId, Progress] = {}

    @property
    def contact_at(self) -> float:
        """When the newest message that a quorum answered was sent."""
        return self.quorum_value({
            replica: one.sent_at for replica, one in self.progress.items()
        })

    @property
    def confirmed_sequence(self) -> float:
        """The newest round that a quorum answered."""
        return self.quorum_value({
            replica: one.sequence for replica, one in self.progress.items()
        })

    @property
    def synced_index(self) -> int:
        """The largest index that a quorum has synced."""
        own = self._core.log.synced_index
        matches = {
            replica: one.match_index for replica, one in self.progress.items()
        }
        return int(self.quorum_value(matches, own))

    def know_members(self, now: float) -> None:
        """Keep progress for the members in force."""
        core = self._core
        self.progress = {
            replica: self.progress.get(replica)
            or Progress(core.log.last_index, now)
            for replica in core.others
        }

    def broadcast(self, now: float) -> None:
        """Start a round: send to every member."""
        self.sequence += 1
        self.next_heartbeat_at = now + self._core.timings.heartbeat_s
        for replica in self.progress:
            self.send_to(replica, now)

    def on_boot(self, replica: ReplicaId, last_index: int) -> None:
        """Count nothing that an earlier start of a member acknowledged."""
        progress = self.progress.get(replica)
        if progress is not None:
            progress.restarted(last_index)

    def answered(
        self,
        sender: ReplicaId,
        message: AppendReply | ChunkReply,
        now: float,
    ) -> Progress | None:
        """Return the member's progress, or None for a stale answer."""
        core = self._core
        progress = self.progress.get(sender)
        if message.term != core.term or progress is None:
            return None
        for replica, boot in message.boots.items():
            self._learn_boot(replica, boot)
        if message.boots[sender] != core.hard_state.boots[sender]:
            return None
        progress.note_answer(message.sequence, message.sent_at, now)
        return progress

    def quorum_value(
        self,
        values: dict[ReplicaId, float] | dict[ReplicaId, int],
        own: float = _ALWAYS,
    ) -> float:
        """Return the largest value that a quorum of voters has reached."""
        core = self._core
        reached = sorted(
            (values.get(voter, own) for voter in core.configuration.voters),
            reverse=True,
        )
        return reached[core.configuration.quorum - 1]

    def send_to(self, replica: ReplicaId, now: float) -> None:
        """Send what a member lacks, within bounds."""
        core = self._core
        progress = self.progress[replica]
        previous = progress.next_index - 1
        previous_term = core.log.term_at(previous)
        if previous_term is None:
            self._send_chunk(replica, progress, now)
            return
        entries: tuple[LogEntry, ...] = ()
        in_flight = previous - progress.match_index
        if in_flight < core.timings.max_in_flight_entries:
            entries = core.log.batch(
                progress.next_index,
                core.timings.max_append_bytes,
            )
        progress.next_index += len(entries)
        message = Append(
            term=core.term,
            previous_index=previous,
            previous_term=previous_term,
            commit_index=core.commit_index,
            sequence=self.sequence,
            sent_at=now,
            entries=entries,
        )
        core.send_at_once(replica, message)

    def _learn_boot(self, replica: ReplicaId, boot: Boot) -> None:
        core = self._core
        known = core.hard_state.boots.get(replica, Boot())
        if boot.number > known.number:
            core.record_boot(replica, boot)
            self.on_boot(replica, core.log.last_index)

    def _send_chunk(
        self,
        replica: ReplicaId,
        progress: Progress,
        now: float,
    ) -> None:
        core = self._core
        snapshot = core.log.snapshot
        end = progress.offset + core.timings.snapshot_chunk_bytes
        message = SnapshotChunk(
            term=core.term,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            configuration=snapshot.configuration,
            offset=progress.offset,
            total=len(snapshot.state),
            sequence=self.sequence,
            sent_at=now,
            chunk=snapshot.state[progress.offset : end],
        )
        core.send_at_once(replica, message)
