"""How often requests with the same shared prompt parts are sent."""

import math
from typing import Final, final

_HALF_LIFE_S: Final = 10.0
_HALF: Final = 0.5
_MAX_PROMPTS: Final = 1024
# Requests a second with the same shared parts that one upstream is meant for.
# They keep the parts in its cache, as each is used again within seconds; more
# at one upstream save nothing, and crowd it.
_PER_UPSTREAM_PER_S: Final = 0.5


@final
class PromptPopularity:
    """Counts the requests by the hash of their shared parts.

    Each count halves in `_HALF_LIFE_S`; the prompts that were sent least
    recently are forgotten first.
    """

    __slots__ = ('counts',)

    def __init__(self) -> None:
        """Create a record without requests."""
        self.counts: dict[int, tuple[float, float]] = {}

    def record_sent(self, shared: int, now: float) -> None:
        """Count a request."""
        count = self._find_count(shared, now)
        self.counts.pop(shared, None)
        self.counts[shared] = (count + 1, now)
        if len(self.counts) > _MAX_PROMPTS:
            self.counts.pop(next(iter(self.counts)))

    def count_upstreams(self, shared: int, entry_count: int, now: float) -> int:
        """Return for how many upstreams the requests of all entries suffice.

        The other entries are assumed to send as many as this one.
        """
        own_per_s = self._find_count(shared, now) * math.log(2) / _HALF_LIFE_S
        return 1 + int(own_per_s * entry_count / _PER_UPSTREAM_PER_S)

    def _find_count(self, shared: int, now: float) -> float:
        count, counted_at = self.counts.get(shared, (0.0, now))
        half_lives = max(0, now - counted_at) / _HALF_LIFE_S
        return count * math.pow(_HALF, half_lives)
