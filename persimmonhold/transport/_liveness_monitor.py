"""Notices a connection to a peer that has fallen silent.

An open connection may carry nothing any more without an error, while a new
one would. Probes are answered over the other direction, so a connection is
made anew where the peer is deaf, and once in vain where only its answers
are lost: then the peer notices that its own connection is the silent one.
"""

from typing import Final, final

PROBE_INTERVAL_S: Final = 0.4
_SILENCE_TIMEOUT_S: Final = (
    1.5  # three probes; a packet sent again takes 0.2 s or more
)


@final
class LivenessMonitor:
    """Probes and answers of one connection; times of a steady clock."""

    __slots__ = ('last_probe_at', 'last_reply_at')

    def __init__(self, now: float) -> None:
        """Begin to watch a connection that is opened now."""
        self.last_reply_at = now
        self.last_probe_at = now

    def record_reply(self, now: float) -> None:
        """Note that a probe was answered."""
        self.last_reply_at = now

    def start_probe_if_due(self, now: float) -> bool:
        """Tell whether to probe now; counts the probe."""
        if now < self.last_probe_at + PROBE_INTERVAL_S:
            return False
        self.last_probe_at = now
        return True

    def is_silent(self, now: float) -> bool:
        """Tell whether the connection is to be made anew."""
        return now > self.last_reply_at + _SILENCE_TIMEOUT_S
