"""An upstream that can accept a request now."""

from typing import final

import msgspec

from persimmonhold.fleet._first_event_forecast import FirstEventForecast
from persimmonhold.fleet._prompt_memory import NOTHING_CACHED, CachedPrompt
from persimmonhold.fleet._upstream_tracker import UpstreamTracker


@final
class UpstreamOption(msgspec.Struct):
    """What speaks for an upstream; the lowest `score` is the best.

    `score` is in seconds: the expected first event and penalties. `spread_s`
    is added where similar scores are compared, so that not all entries choose
    the same upstream. `needs_adapter` tells that the adapter has to be loaded
    first. `cached` is what it is expected to have cached of the prompt, and
    `rank` its rendezvous rank for the shared parts.
    """

    tracker: UpstreamTracker
    needs_adapter: bool
    forecast: FirstEventForecast = FirstEventForecast(0)
    cached: CachedPrompt = NOTHING_CACHED
    rank: int = 0
    score: float = 0
    spread_s: float = 0

    @property
    def spread_score(self) -> float:
        """The score by which upstreams of one failure domain are compared."""
        return self.score + self.spread_s
