"""Counters of the traffic of a transport."""

from typing import final

from persimmonhold.transport._channel import Channel


@final
class TrafficCounters:
    """Counts messages and bytes by direction, drops and reconnections.

    Bytes are counted by channel. `renewed_connections` counts connections
    closed because the peer did not answer probes on them.
    """

    __slots__ = (
        'dropped_messages',
        'received_bytes_by_channel',
        'received_messages',
        'renewed_connections',
        'sent_bytes_by_channel',
        'sent_messages',
    )

    def __init__(self) -> None:
        """Create counters that are all zero."""
        self.sent_messages = 0
        self.sent_bytes_by_channel = dict.fromkeys(Channel, 0)
        self.received_messages = 0
        self.received_bytes_by_channel = dict.fromkeys(Channel, 0)
        self.dropped_messages = 0
        self.renewed_connections = 0

    @property
    def sent_bytes(self) -> int:
        """The bytes sent on all channels."""
        return sum(self.sent_bytes_by_channel.values())

    @property
    def received_bytes(self) -> int:
        """The bytes received on all channels."""
        return sum(self.received_bytes_by_channel.values())

    def count_sent(self, channel: Channel, size: int) -> None:
        """Count a message of `size` bytes that was queued."""
        self.sent_messages += 1
        self.sent_bytes_by_channel[channel] += size

    def count_received(self, channel: Channel, size: int) -> None:
        """Count a message of `size` bytes that arrived."""
        self.received_messages += 1
        self.received_bytes_by_channel[channel] += size
