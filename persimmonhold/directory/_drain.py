"""The state machine of a planned stop.

Invariants: the phases only advance; `closing` begins no earlier than the
directory's TTL plus a margin after the entry left the directory. During the
margin, from `announces_close_at`, responses carry `Connection: close`, so
that no caller sends a request on a connection that is about to be closed.
"""

from typing import final

from persimmonhold.directory._drain_phase import DrainPhase


@final
class Drain:
    """The phase and times of one entry's stop, in seconds."""

    __slots__ = (
        '_margin_s',
        '_timeout_s',
        '_ttl_s',
        'announces_close_at',
        'closes_at',
        'ends_at',
        'phase',
    )

    def __init__(self, ttl_s: float, margin_s: float, timeout_s: float) -> None:
        """Create the drain of an entry that serves."""
        self.phase = DrainPhase.serving
        self.announces_close_at = float('inf')
        self.closes_at = float('inf')
        self.ends_at = float('inf')
        self._ttl_s = ttl_s
        self._margin_s = margin_s
        self._timeout_s = timeout_s

    def start_drain(self, now: float) -> None:
        """Begin to leave the directory; further calls have no effect."""
        if self.phase is DrainPhase.serving:
            self.phase = DrainPhase.leaving
            self._schedule_close(now)

    def record_directory_exit(self, now: float) -> None:
        """Restart the TTL: the entry's address was listed until now."""
        if self.phase is DrainPhase.leaving:
            self._schedule_close(now)

    def advance(self, now: float, in_flight: int) -> DrainPhase:
        """Advance to the phase for this time and `running` requests."""
        if self.phase is DrainPhase.leaving and now >= self.closes_at:
            self.phase = DrainPhase.closing
        is_over = in_flight == 0 or now >= self.ends_at
        if self.phase is DrainPhase.closing and is_over:
            self.phase = DrainPhase.drained
        return self.phase

    def _schedule_close(self, now: float) -> None:
        """Serve for the TTL, then announce the close during the margin."""
        self.announces_close_at = now + self._ttl_s
        self.closes_at = self.announces_close_at + self._margin_s
        self.ends_at = self.closes_at + self._timeout_s
