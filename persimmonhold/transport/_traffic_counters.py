"""Counters of the traffic of a transport."""

from typing import final


@final
class TrafficCounters:
    """Counts messages and bytes by direction, drops and reconnections.

    `renewed_connections` counts connections closed because the peer did not
    answer probes on them.
    """

    __slots__ = (
        'dropped_messages',
        'received_bytes',
        'received_messages',
        'renewed_connections',
        'sent_bytes',
        'sent_messages',
    )

    def __init__(self) -> None:
        """Create counters that are all zero."""
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0
        self.dropped_messages = 0
        self.renewed_connections = 0

    def count_sent(self, size: int) -> None:
        """Count a message of `size` bytes that was queued."""
        self.sent_messages += 1
        self.sent_bytes += size

    def count_received(self, size: int) -> None:
        """Count a message of `size` bytes that arrived."""
        self.received_messages += 1
        self.received_bytes += size
