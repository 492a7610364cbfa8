"""What a leader knows of another member."""

from typing import Final, final

_NEVER: Final = float('-inf')


@final
class Progress:
    """Replication to one member in one term.

    `match_index` was acknowledged as synced in the member's current start;
    `sent_at` is when the newest acknowledged message was sent;
    `probed_sequence` is the round in which a refusal was last answered, so
    that refusals, doubled on the way, cannot multiply messages.
    """

    __slots__ = (
        'last_reply_at',
        'match_index',
        'next_index',
        'offset',
        'probed_sequence',
        'sent_at',
        'sequence',
    )

    def __init__(self, next_index: int, now: float) -> None:
        """Create the progress of a member that has not answered yet."""
        self.match_index = 0
        self.next_index = next_index
        self.offset = 0
        self.sequence = 0
        self.probed_sequence = 0
        self.sent_at = _NEVER
        self.last_reply_at = now

    def restarted(self, last_index: int) -> None:
        """Forget what an earlier start of the member acknowledged."""
        self.match_index = 0
        self.next_index = last_index + 1
        self.offset = 0

    def note_answer(self, sequence: int, sent_at: float, now: float) -> None:
        """Take the echo of a message."""
        self.sequence = max(self.sequence, sequence)
        self.sent_at = max(self.sent_at, sent_at)
        self.last_reply_at = now
