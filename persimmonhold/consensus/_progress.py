"""The progress of replication to one member."""

from typing import Final, final

_NEVER: Final = float('-inf')


@final
class Progress:
    """Replication to one member in one term.

    `match_index` is the last index that the member acknowledged as synced
    since its latest start, `next_index` the next one to send. `sent_at` and
    `sequence` are the send time and the heartbeat round of the latest
    acknowledged message. `snapshot_offset` is the number of snapshot bytes
    that the member has. `probed_sequence` is the round in which a rejected
    append was last retried: one retry per round, so that rejections
    duplicated by the network do not multiply messages.
    """

    __slots__ = (
        'last_reply_at',
        'match_index',
        'next_index',
        'probed_sequence',
        'sent_at',
        'sequence',
        'snapshot_offset',
    )

    def __init__(self, next_index: int, now: float) -> None:
        """Create the progress of a member that has not replied yet."""
        self.match_index = 0
        self.next_index = next_index
        self.snapshot_offset = 0
        self.sequence = 0
        self.probed_sequence = 0
        self.sent_at = _NEVER
        self.last_reply_at = now

    def reset(self, last_index: int) -> None:
        """Discard what an earlier start of the member acknowledged.

        Sending continues after `last_index`.
        """
        self.match_index = 0
        self.next_index = last_index + 1
        self.snapshot_offset = 0

    def record_reply(self, sequence: int, sent_at: float, now: float) -> None:
        """Record the round and the send time echoed by a reply."""
        self.sequence = max(self.sequence, sequence)
        self.sent_at = max(self.sent_at, sent_at)
        self.last_reply_at = now
