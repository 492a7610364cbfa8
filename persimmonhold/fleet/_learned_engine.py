"""What an entry has learned of the prompt reading of one engine."""

import math
from typing import Final, final

from persimmonhold.fleet._first_event_forecast import FirstEventForecast
from persimmonhold.fleet._prefill_speed import PrefillSpeed
from persimmonhold.fleet._prompt_keys import stable_hash
from persimmonhold.fleet._speed_sums import SpeedSums

_MS_PER_S: Final = 1000
# The usual speed of the service counts like an observation of this many tokens,
# about those of a typical prompt.
_USUAL_TOKENS: Final = 800.0
# Observations of fewer tokens show the fixed overhead rather than the speed.
_MIN_OBSERVED_TOKENS: Final = 100.0
# The prompt was not cached if its first event came later than expected by this
# multiple of the time that the cache would have saved, and by `_MIN_MISS_S`.
_MISS_RATIO: Final = 1.0
_MIN_MISS_S: Final = 0.01  # shorter delays are within the noise of batch steps


@final
class LearnedEngine:
    """Prefill speed of an engine, and since when its prompt cache is kept.

    `own_speed` is from observations of this entry, `stated_speed` from those of
    all entries. `unreported` are the tokens and seconds of own observations
    that were not reported yet. What was read before `kept_since`, or before
    `models_kept_since` for a model, is not cached any more. `name_hash` is the
    stable hash of its name.
    """

    __slots__ = (
        'kept_since',
        'models_kept_since',
        'name_hash',
        'own_speed',
        'stated_speed',
        'unreported',
    )

    def __init__(self, name: str) -> None:
        """Create the record of an engine that was not observed."""
        self.name_hash = stable_hash(name)
        self.own_speed = PrefillSpeed()
        self.stated_speed = PrefillSpeed()
        self.unreported = (0.0, 0.0)
        self.kept_since = -math.inf
        self.models_kept_since: dict[str, float] = {}

    @property
    def observed_per_s(self) -> float:
        """The observed speed of all entries, or else of this one, or 0."""
        return self.stated_speed.observed_per_s or self.own_speed.observed_per_s

    @property
    def observed_at(self) -> float:
        """When the speed was last observed or stated."""
        return max(self.own_speed.updated_at, self.stated_speed.updated_at)

    def restart(self, now: float) -> None:
        """Forget everything, as the process was replaced."""
        self.own_speed = PrefillSpeed()
        self.stated_speed = PrefillSpeed()
        self.unreported = (0.0, 0.0)
        self.kept_since = now
        self.models_kept_since.clear()

    def drop_model(self, model: str, now: float) -> None:
        """Record that a model is not loaded, so its prompts are not cached."""
        self.models_kept_since[model] = now

    def cached_since(self, model: str) -> float:
        """Return the time since which what a model has read is kept."""
        return max(
            self.kept_since, self.models_kept_since.get(model, -math.inf)
        )

    def estimate_per_s(self, usual_per_s: float, now: float) -> float:
        """Return the expected speed, which approaches the usual one with age."""
        own_tokens, own_s = self.own_speed.sums_at(now)
        stated_tokens, stated_s = self.stated_speed.sums_at(now)
        seconds = own_s + stated_s + _USUAL_TOKENS / usual_per_s
        return (own_tokens + stated_tokens + _USUAL_TOKENS) / seconds

    def record_first_event(
        self, forecast: FirstEventForecast, waited_s: float, now: float
    ) -> None:
        """Learn from the time to the first event of a request.

        If its prompt was evicted from the cache, so was all that was used
        before it, as the least recently used parts are evicted first.
        """
        read_tokens = forecast.unread_tokens - forecast.cached_tokens
        if forecast.saved_s and _is_miss(forecast, waited_s):
            read_tokens = forecast.unread_tokens
            if math.isfinite(forecast.cached_at):
                self.kept_since = max(self.kept_since, forecast.cached_at)
        read_s = waited_s - forecast.other_s
        if read_tokens >= _MIN_OBSERVED_TOKENS:
            self.own_speed.record_read(read_tokens, read_s, now)
            tokens, seconds = self.unreported
            self.unreported = (tokens + read_tokens, seconds + max(0, read_s))

    def state_speed(self, sums: SpeedSums, now: float) -> None:
        """Replace what all entries have observed."""
        self.stated_speed.replace_sums(sums.tokens, sums.ms / _MS_PER_S, now)

    def pop_unreported(self) -> tuple[float, float]:
        """Return the tokens and seconds observed since the last call."""
        unreported = self.unreported
        self.unreported = (0.0, 0.0)
        return unreported


def _is_miss(forecast: FirstEventForecast, waited_s: float) -> bool:
    """Tell whether a prompt that was expected to be cached was read again."""
    late_s = waited_s - forecast.expected_s
    return late_s > max(_MIN_MISS_S, _MISS_RATIO * forecast.saved_s)
