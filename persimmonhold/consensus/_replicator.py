"""Replicates the log to the other members and tracks their progress.

Invariant: acknowledgements from before the latest known start of a member
are not counted, since its disk may have been restored to an older state.
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

_ALWAYS_REACHED: Final = float('inf')


@final
class Replicator:
    """Sends entries, heartbeats and snapshots for a leader.

    `sequence` is the number of the current heartbeat round; `progress` holds
    the state of replication to each other member.
    """

    __slots__ = ('_core', 'next_heartbeat_at', 'progress', 'sequence')

    def __init__(self, core: Core, now: float) -> None:
        """Create a replicator whose first heartbeat round is due at once."""
        self._core = core
        self.next_heartbeat_at = now
        self.sequence = 0
        self.progress: dict[ReplicaId, Progress] = {}

    @property
    def quorum_contact_at(self) -> float:
        """The send time of the latest messages that a quorum has answered.

        Every voter of that quorum has answered a message sent then or later.
        Infinity if this replica alone is a quorum.
        """
        return self.quorum_value({
            replica: progress.acknowledged_sent_at
            for replica, progress in self.progress.items()
        })

    @property
    def confirmed_sequence(self) -> float:
        """The latest heartbeat round that a quorum answered.

        Infinity if this replica alone is a quorum.
        """
        return self.quorum_value({
            replica: progress.acknowledged_sequence
            for replica, progress in self.progress.items()
        })

    @property
    def quorum_synced_index(self) -> int:
        """The highest index that a quorum has synced."""
        own = self._core.log.synced_index
        matches = {
            replica: progress.match_index
            for replica, progress in self.progress.items()
        }
        return int(self.quorum_value(matches, own))

    def update_members(self, now: float) -> None:
        """Start or stop tracking members to match the latest configuration."""
        core = self._core
        self.progress = {
            replica: self.progress.get(replica)
            or Progress(core.log.last_index, now)
            for replica in core.other_members
        }

    def broadcast(self, now: float) -> None:
        """Start a heartbeat round: send each member what it lacks."""
        self.sequence += 1
        self.next_heartbeat_at = now + self._core.timings.heartbeat_s
        for replica in self.progress:
            self.replicate_to(replica, now)

    def reset_progress(self, replica: ReplicaId, last_index: int) -> None:
        """Forget acknowledgements from before a member restarted.

        `last_index` is the last index of its log now; the entries after it
        are sent next.
        """
        progress = self.progress.get(replica)
        if progress is not None:
            progress.discard_acknowledgements(last_index)

    def record_reply(
        self,
        sender: ReplicaId,
        message: AppendReply | ChunkReply,
        now: float,
    ) -> Progress | None:
        """Record a reply and the newer starts that it reports.

        Returns the progress of the sender, or None if the reply does not
        count: it is of another term, the sender is no member, or its start
        is not the latest known one.
        """
        core = self._core
        progress = self.progress.get(sender)
        if message.term != core.term or progress is None:
            return None
        for replica, boot in message.boots.items():
            self._record_newer_boot(replica, boot)
        if message.boots[sender] != core.hard_state.boots[sender]:
            return None
        progress.record_reply(message.sequence, message.sent_at, now)
        return progress

    def quorum_value(
        self,
        values: dict[ReplicaId, float] | dict[ReplicaId, int],
        own: float = _ALWAYS_REACHED,
    ) -> float:
        """Return the largest value that a quorum of voters has reached.

        `own` is the value of this replica, the only voter not in `values`.
        """
        core = self._core
        reached = sorted(
            (values.get(voter, own) for voter in core.configuration.voters),
            reverse=True,
        )
        return reached[core.configuration.quorum - 1]

    def replicate_to(self, replica: ReplicaId, now: float) -> None:
        """Send a member the entries or the snapshot chunk that it lacks.

        If it lacks neither, the message is a heartbeat. The number of
        unacknowledged entries and the size of a message are bounded.
        """
        core = self._core
        progress = self.progress[replica]
        previous = progress.next_index - 1
        previous_term = core.log.term_at(previous)
        if previous_term is None:
            self._send_chunk(replica, progress, now)
            return
        entries: tuple[LogEntry, ...] = ()
        if self._may_send_entries(progress):
            entries = core.log.select_batch(
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

    def _may_send_entries(self, progress: Progress) -> bool:
        """Return whether a member has few enough unacknowledged entries."""
        core = self._core
        last_sent = progress.next_index - 1
        in_flight_bytes = core.log.size_between(
            progress.match_index + 1, last_sent
        )
        return (
            last_sent - progress.match_index
            < core.timings.max_in_flight_entries
            and in_flight_bytes < core.timings.max_in_flight_bytes
        )

    def _record_newer_boot(self, replica: ReplicaId, boot: Boot) -> None:
        core = self._core
        known = core.hard_state.boots.get(replica, Boot())
        if boot.number > known.number:
            core.record_boot(replica, boot)
            self.reset_progress(replica, core.log.last_index)

    def _send_chunk(
        self,
        replica: ReplicaId,
        progress: Progress,
        now: float,
    ) -> None:
        """Send the next chunk, or an empty one while that is under way.

        An empty chunk is a heartbeat. A chunk that is not acknowledged within
        an election timeout is sent again.
        """
        core = self._core
        snapshot = core.log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.begin_snapshot(snapshot.index)
        offset = progress.snapshot_offset
        end = offset
        is_sent = progress.sent_chunk_offset == offset
        waited_s = now - progress.chunk_sent_at
        if not is_sent or waited_s >= core.timings.election_timeout_s:
            end += core.timings.snapshot_chunk_bytes
            progress.sent_chunk_offset = offset
            progress.chunk_sent_at = now
        message = SnapshotChunk(
            term=core.term,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            configuration=snapshot.configuration,
            offset=offset,
            total=len(snapshot.state),
            sequence=self.sequence,
            sent_at=now,
            chunk=snapshot.state[offset:end],
        )
        core.send_at_once(replica, message)
