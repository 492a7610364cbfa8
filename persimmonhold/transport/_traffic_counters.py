"""What a transport has carried."""

from typing import final


@final
class TrafficCounters:
    """Messages and bytes by direction, drops, and connections renewed."""

    __slots__ = (
        'dropped_messages',
        'received_bytes',
        'received_messages',
        'renewed_connections',
        'sent_bytes',
        'sent_messages',
    )

    def __init__(self) -> None:
        """Create counts of nothing."""
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0
        self.dropped_messages = 0
        self.renewed_connections = 0

    def count_sent(self, size: int) -> None:
        """Count a message that was queued."""
        self.sent_messages += 1
        self.sent_bytes += size

    def count_received(self, size: int) -> None:
        """Count a message that arrived."""
        self.received_messages += 1
        self.received_bytes += size
