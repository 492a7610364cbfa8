"""A token bucket for rate limits."""

from typing import final


@final
class TokenBucket:
    """Permits `rate` requests per second and up to `burst` requests at once."""

    __slots__ = (
        '_burst',
        '_level',
        '_rate',
        '_refilled_at',
    )

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Create a full bucket."""
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._refilled_at = now

    def try_consume(self, now: float) -> bool:
        """Consume one token; return False if less than one is left."""
        self._refill(now)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def wait_s(self, now: float) -> float:
        """Return the seconds until a token is available."""
        self._refill(now)
        return max(0, 1 - self._level) / self._rate

    def update_rate(self, rate: float, burst: float, now: float) -> None:
        """Replace the rate and burst; tokens beyond the burst are lost."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(burst, self._level)

    def _refill(self, now: float) -> None:
        gained = max(0, now - self._refilled_at) * self._rate
        self._level = min(self._burst, self._level + gained)
        self._refilled_at = now
