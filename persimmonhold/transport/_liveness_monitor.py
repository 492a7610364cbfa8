"""Detection of a connection to a peer that no longer carries messages.

An open connection can stop carrying messages without an error, while a new
one would work. A reply to a probe arrives over the peer's own connection in
the other direction. A missing reply can therefore mean that either
connection is broken. This side replaces its connection in both cases, in
vain if only the replies are lost; the peer, whose probes then go unanswered
too, replaces the broken one.
"""

from typing import Final, final

PROBE_INTERVAL_S: Final = 0.4
# Long enough for three probes, since a TCP retransmission takes 0.2 s or more.
_SILENCE_TIMEOUT_S: Final = 1.5


@final
class LivenessMonitor:
    """Tracks the times of probes and replies of one connection.

    Times are in seconds of the event loop clock.
    """

    __slots__ = ('last_probe_at', 'last_reply_at')

    def __init__(self, now: float) -> None:
        """Start monitoring a connection that is opened at `now`."""
        self.last_reply_at = now
        self.last_probe_at = now

    def record_reply(self, now: float) -> None:
        """Record the reply to a probe."""
        self.last_reply_at = now

    def start_probe_if_due(self, now: float) -> bool:
        """Return whether a probe is due, and if so record it as sent."""
        if now < self.last_probe_at + PROBE_INTERVAL_S:
            return False
        self.last_probe_at = now
        return True

    def is_silent(self, now: float) -> bool:
        """Tell whether replies are missing for so long that it is replaced."""
        return now > self.last_reply_at + _SILENCE_TIMEOUT_S
