"""Detection of a connection to a peer that no longer carries messages.

An open connection can stop carrying messages without an error, while a new
one would work. A reply to a probe arrives over the peer's own connection in
the other direction. A missing reply can therefore mean that either
connection is broken. This side replaces its connection in both cases, in
vain if only the replies are lost; the peer, whose probes then go unanswered
too, replaces the broken one.

Connections that carry messages are probed often, idle ones seldom. In a large
system each VM has a connection to nearly every other VM, most of which carry
a heartbeat now and then; there the probes of idle connections are bounded for
the whole VM, see `ProbePace`. A heartbeat that is lost meanwhile reaches the
system through other VMs.
"""

from typing import Final, Self, final

import msgspec

PROBE_INTERVAL_S: Final = 0.4
_IDLE_PROBE_INTERVAL_S: Final = 1.5
# Messages are counted over this time to tell whether a connection is in use.
_USE_WINDOW_S: Final = 1.5
# Probes of idle connections that a VM sends, with the replies to them.
_IDLE_PROBES_PER_S: Final = 4.0
# With at most this many connections, a single message counts as use.
_FEW_CONNECTIONS: Final = 16
# Long enough for three probes, since a TCP retransmission takes 0.2 s or more.
_SILENCE_TIMEOUT_S: Final = 1.1


@final
class ProbePace(msgspec.Struct, frozen=True):
    """How often idle connections are probed, and what counts as use.

    A connection is in use if `use_messages` were sent within 1.5 s.
    """

    idle_interval_s: float = _IDLE_PROBE_INTERVAL_S
    use_messages: int = 1

    @classmethod
    def for_connections(cls, count: int) -> Self:
        """Return the pace for a VM with `count` open connections."""
        if count <= _FEW_CONNECTIONS:
            return cls()
        idle_interval_s = count / _IDLE_PROBES_PER_S
        return cls(max(_IDLE_PROBE_INTERVAL_S, idle_interval_s), 2)


_USUAL_PACE: Final = ProbePace()


@final
class LivenessMonitor:
    """Tracks the probes and replies of one connection.

    Times are in seconds of the event loop clock. `unanswered_since` is when
    the first probe was sent that no reply has followed, or None.
    `message_count` counts the messages, other than probes, since
    `counted_since`.
    """

    __slots__ = (
        'counted_since',
        'last_probe_at',
        'message_count',
        'unanswered_since',
    )

    def __init__(self, now: float) -> None:
        """Start monitoring a connection that is opened at `now`."""
        self.message_count = 0
        self.counted_since = now
        self.last_probe_at = now
        self.unanswered_since: float | None = None

    def record_message(self) -> None:
        """Record that a message other than a probe was sent."""
        self.message_count += 1

    def record_reply(self) -> None:
        """Record the reply to a probe."""
        self.unanswered_since = None

    def start_probe_if_due(
        self, now: float, pace: ProbePace = _USUAL_PACE
    ) -> bool:
        """Return whether a probe is due, and if so record it as sent."""
        is_in_use = self.message_count >= pace.use_messages
        if now > self.counted_since + _USE_WINDOW_S:
            self.counted_since = now
            self.message_count = 0
        is_idle = not is_in_use and self.unanswered_since is None
        interval_s = pace.idle_interval_s if is_idle else PROBE_INTERVAL_S
        if now < self.last_probe_at + interval_s:
            return False
        self.last_probe_at = now
        if self.unanswered_since is None:
            self.unanswered_since = now
        return True

    def is_silent(self, now: float) -> bool:
        """Tell whether replies are missing for so long that it is replaced."""
        if self.unanswered_since is None:
            return False
        return now > self.unanswered_since + _SILENCE_TIMEOUT_S
