"""The progress of replication to one member."""

from typing import Final, final

_NEVER: Final = float('-inf')


@final
class Progress:
    """How far the leader has replicated its log to one member in its term.

    `match_index` is the last index that the member acknowledged as synced
    since its latest start, `next_index` the next index to send.
    `acknowledged_sent_at` and `acknowledged_sequence` are the send time and
    the heartbeat round of the latest message that it answered, and
    `last_reply_at` the time of its last reply. `snapshot_offset` is the number
    of bytes that the member has of the snapshot at `snapshot_index`, and
    `chunk_sent_at` the time when the chunk at `sent_chunk_offset` was last
    sent; -1 stands for none. `last_retry_sequence` is the round
    in which a rejected append was last retried: one retry per round, so that
    rejections duplicated by the network do not multiply messages.
    """

    __slots__ = (
        'last_reply_at',
        'match_index',
        'next_index',
        'last_retry_sequence',
        'acknowledged_sent_at',
        'acknowledged_sequence',
        'chunk_sent_at',
        'sent_chunk_offset',
        'snapshot_index',
        'snapshot_offset',
    )

    def __init__(self, next_index: int, now: float) -> None:
        """Create the progress of a member that has not replied yet."""
        self.match_index = 0
        self.next_index = next_index
        self.begin_snapshot(0)
        self.acknowledged_sequence = 0
        self.last_retry_sequence = 0
        self.acknowledged_sent_at = _NEVER
        self.last_reply_at = now

    def discard_acknowledgements(self, last_index: int) -> None:
        """Forget acknowledgements from before the member restarted.

        Its disk may be older than them. `last_index` is the last index of its
        log now; the entries after it are sent next.
        """
        self.match_index = 0
        self.next_index = last_index + 1
        self.begin_snapshot(0)

    def begin_snapshot(self, index: int) -> None:
        """Start to send the snapshot at `index` from its first byte."""
        self.snapshot_index = index
        self.snapshot_offset = 0
        self.sent_chunk_offset = -1
        self.chunk_sent_at = _NEVER

    def record_reply(self, sequence: int, sent_at: float, now: float) -> None:
        """Record the heartbeat round and send time that a reply echoes.

        `now` is recorded as the time of the last reply.
        """
        self.acknowledged_sequence = max(self.acknowledged_sequence, sequence)
        self.acknowledged_sent_at = max(self.acknowledged_sent_at, sent_at)
        self.last_reply_at = now
