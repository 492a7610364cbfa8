"""Logs what one process uses: message bytes, processor time, loop delays."""

import time
from typing import Final, final

from persimmonhold.observability import log_event
from persimmonhold.transport import Channel, TrafficCounters

_INTERVAL_S: Final = 2.0
_MS_PER_S: Final = 1000


@final
class UsageLog:
    """Logs the increase of each counter since the last line, at intervals.

    `loop_delay_s` is how late the event loop resumed a task, at the longest.
    """

    __slots__ = (
        'counters',
        'logged_at',
        'logged_cpu_s',
        'logged_drops',
        'logged_received',
        'logged_sent',
        'loop_delay_s',
    )

    def __init__(self, counters: TrafficCounters, now: float) -> None:
        """Create a log of the counters of a transport."""
        self.counters = counters
        self.logged_at = now
        self.logged_cpu_s = time.process_time()
        self.logged_drops = counters.dropped_messages
        self.logged_sent = dict(counters.sent_bytes_by_channel)
        self.logged_received = dict(counters.received_bytes_by_channel)
        self.loop_delay_s = 0.0

    def record_loop_delay(self, delay_s: float) -> None:
        """Record how much later than asked for a task was resumed."""
        self.loop_delay_s = max(self.loop_delay_s, delay_s)

    def log_if_due(self, now: float) -> None:
        """Write the line of the time since the last one, if it is due."""
        if now < self.logged_at + _INTERVAL_S:
            return
        cpu_s = time.process_time()
        log_event(
            'usage',
            over_s=round(now - self.logged_at, 2),
            cpu_s=round(cpu_s - self.logged_cpu_s, 3),
            loop_delay_ms=round(self.loop_delay_s * _MS_PER_S, 1),
            sent_bytes=_increase(
                self.counters.sent_bytes_by_channel, self.logged_sent
            ),
            received_bytes=_increase(
                self.counters.received_bytes_by_channel, self.logged_received
            ),
            dropped_messages=self.counters.dropped_messages - self.logged_drops,
        )
        self.logged_at = now
        self.logged_cpu_s = cpu_s
        self.logged_drops = self.counters.dropped_messages
        self.logged_sent = dict(self.counters.sent_bytes_by_channel)
        self.logged_received = dict(self.counters.received_bytes_by_channel)
        self.loop_delay_s = 0.0


def _increase(
    totals: dict[Channel, int], logged: dict[Channel, int]
) -> dict[str, int]:
    """Return the bytes counted since the last line, by channel name."""
    return {
        channel.name: total - logged[channel]
        for channel, total in totals.items()
        if total > logged[channel]
    }
