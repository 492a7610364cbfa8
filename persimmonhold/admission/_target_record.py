"""What the dispatcher learns about one target.

`interval_s` is the smoothed interval between dispatches from a queue that
stayed in use. Return times given to refused callers are spaced by it, so
that they do not all come back at once.
"""

from typing import Final, final

_SMOOTHING: Final = 0.1


@final
class TargetRecord:
    """Dispatch interval and duration of one target.

    `service_s` is the smoothed duration of an attempt, None before the first.
    """

    __slots__ = ('_last_at', '_offered_until', 'interval_s', 'service_s')

    def __init__(self, interval_s: float) -> None:
        """Create a record from a first guess of the interval."""
        self.interval_s = interval_s
        self.service_s: float | None = None
        self._last_at: float | None = None
        self._offered_until = 0.0

    def dispatched(self, now: float, *, more_wait: bool) -> None:
        """Take a dispatch from the queue as evidence."""
        if self._last_at is not None:
            seen_s = now - self._last_at
            self.interval_s += _SMOOTHING * (seen_s - self.interval_s)
        self._last_at = now if more_wait else None

    def ended(self, duration_s: float) -> None:
        """Take the duration of an attempt as evidence."""
        known_s = duration_s if self.service_s is None else self.service_s
        self.service_s = known_s + _SMOOTHING * (duration_s - known_s)

    def offer_return(self, now: float, wait_s: float, limit_s: float) -> float:
        """Return the seconds after which a refused caller may come back."""
        soonest = now + max(wait_s, self.interval_s)
        spaced = self._offered_until + self.interval_s
        self._offered_until = min(max(soonest, spaced), now + limit_s)
        return self._offered_until - now
