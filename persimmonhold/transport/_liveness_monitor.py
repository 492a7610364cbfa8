"""Detection of a connection to a peer that no longer carries messages.

An open connection can stop carrying messages without an error, while a new
one would work. A reply to a probe arrives over the peer's own connection in
the other direction. A missing reply can therefore mean that either
connection is broken. This side replaces its connection in both cases, in
vain if only the replies are lost; the peer, whose probes then go unanswered
too, replaces the broken one.

Connections that carry messages are probed often. Idle ones are probed seldom:
in a large system each VM has one to nearly every other VM.
"""

from typing import Final, final

PROBE_INTERVAL_S: Final = 0.4
_IDLE_PROBE_INTERVAL_S: Final = 1.5
# Long enough for three probes, since a TCP retransmission takes 0.2 s or more.
_SILENCE_TIMEOUT_S: Final = 1.1


@final
class LivenessMonitor:
    """Tracks the probes and replies of one connection.

    Times are in seconds of the event loop clock. `unanswered_since` is when
    the first probe was sent that no reply has followed, or None. `is_in_use`
    tells that messages were sent since the last probe.
    """

    __slots__ = ('is_in_use', 'last_probe_at', 'unanswered_since')

    def __init__(self, now: float) -> None:
        """Start monitoring a connection that is opened at `now`."""
        self.is_in_use = False
        self.last_probe_at = now
        self.unanswered_since: float | None = None

    def record_message(self) -> None:
        """Record that a message other than a probe was sent."""
        self.is_in_use = True

    def record_reply(self) -> None:
        """Record the reply to a probe."""
        self.unanswered_since = None

    def start_probe_if_due(self, now: float) -> bool:
        """Return whether a probe is due, and if so record it as sent."""
        is_idle = not self.is_in_use and self.unanswered_since is None
        interval_s = _IDLE_PROBE_INTERVAL_S if is_idle else PROBE_INTERVAL_S
        if now < self.last_probe_at + interval_s:
            return False
        self.last_probe_at = now
        self.is_in_use = False
        if self.unanswered_since is None:
            self.unanswered_since = now
        return True

    def is_silent(self, now: float) -> bool:
        """Tell whether replies are missing for so long that it is replaced."""
        if self.unanswered_since is None:
            return False
        return now > self.unanswered_since + _SILENCE_TIMEOUT_S
