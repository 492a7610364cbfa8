"""Spaces the requests that all entries send to one limited upstream."""

from typing import Final, final

# Permits for this time may be used at once; covers pauses of the event loop.
_BURST_S: Final = 0.2
# The end of a limit shows only in a response, so even an upstream that accepts
# no requests gets one now and then.
_MIN_RATE_PER_S: Final = 0.1


@final
class PermitBucket:
    """A token bucket for permits that refills at the rate of the limit.

    It starts empty, so that a new fleet controller adds no burst to the
    permits of the last one.
    """

    __slots__ = ('permits', 'refilled_at')

    def __init__(self, now: float) -> None:
        """Create an empty bucket."""
        self.permits = 0.0
        self.refilled_at = now

    def try_take(self, limit_per_s: float, now: float) -> float:
        """Take a permit; return 0, or the seconds until there is one."""
        rate_per_s = max(_MIN_RATE_PER_S, limit_per_s)
        refilled = self.permits + (now - self.refilled_at) * rate_per_s
        self.permits = min(max(1, rate_per_s * _BURST_S), refilled)
        self.refilled_at = now
        if self.permits < 1:
            return (1 - self.permits) / rate_per_s
        self.permits -= 1
        return 0
