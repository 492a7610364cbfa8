"""Notices a connection to a peer that has fallen silent.

An open connection may carry nothing any more without an error, while a new
one would. Probes are answered over the other direction, so a connection is
made anew where the peer is deaf, and once in vain where only its answers
are lost: then the peer notices that its own connection is the silent one.
"""

from typing import Final, final

PROBE_INTERVAL_S: Final = 0.4
_SILENT_S: Final = 1.5  # three probes; a packet sent again takes 0.2 s or more


@final
class PeerWatch:
    """Probes and answers of one connection; times of a steady clock."""

    __slots__ = ('answered_at', 'probed_at')

    def __init__(self, now: float) -> None:
        """Begin to watch a connection that is opened now."""
        self.answered_at = now
        self.probed_at = now

    def note_answer(self, now: float) -> None:
        """Note that a probe was answered."""
        self.answered_at = now

    def is_probe_due(self, now: float) -> bool:
        """Tell whether to probe now; counts the probe."""
        if now < self.probed_at + PROBE_INTERVAL_S:
            return False
        self.probed_at = now
        return True

    def is_silent(self, now: float) -> bool:
        """Tell whether the connection is to be made anew."""
        return now > self.answered_at + _SILENT_S
