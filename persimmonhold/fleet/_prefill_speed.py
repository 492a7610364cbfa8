"""What was observed of the speed at which an upstream reads prompts."""

import math
from typing import Final, final

from persimmonhold.fleet._engine_speed import PROMPT_TOKENS_PER_S

# At this age, an observation has half its weight.
_HALF_LIFE_S: Final = 10.0
_HALF: Final = 0.5
# What is left of the weight of earlier observations after another one.
_KEPT_SHARE: Final = 0.75
# Bounds of the observed time over the expected time; they keep one stalled
# response from dominating.
_MAX_RATIO: Final = 8.0
_MIN_RATIO: Final = 0.25


@final
class PrefillSpeed:
    """Prompt tokens that were read, and the seconds that it took.

    Both are weighted sums over the latest observations, as of `updated_at`.
    """

    __slots__ = ('seconds', 'tokens', 'updated_at')

    def __init__(self) -> None:
        """Create the record of an upstream that was not observed."""
        self.tokens = 0.0
        self.seconds = 0.0
        self.updated_at = -math.inf

    @property
    def observed_per_s(self) -> float:
        """The observed speed, or 0 if there is no observation."""
        return self.tokens / self.seconds if self.seconds else 0

    def record_read(self, tokens: float, seconds: float, now: float) -> None:
        """Record an observation."""
        usual_s = tokens / PROMPT_TOKENS_PER_S
        bounded_s = min(
            _MAX_RATIO * usual_s, max(_MIN_RATIO * usual_s, seconds)
        )
        kept = _KEPT_SHARE * self._weight(now)
        self.tokens = self.tokens * kept + tokens
        self.seconds = self.seconds * kept + bounded_s
        self.updated_at = now

    def replace_sums(self, tokens: float, seconds: float, now: float) -> None:
        """Replace the sums by those that another VM states."""
        self.tokens = tokens
        self.seconds = seconds
        self.updated_at = now

    def sums_at(self, now: float) -> tuple[float, float]:
        """Return the tokens and the seconds, weighted by their age."""
        weight = self._weight(now)
        return weight * self.tokens, weight * self.seconds

    def _weight(self, now: float) -> float:
        if not self.tokens:
            return 0
        half_lives = max(0, now - self.updated_at) / _HALF_LIFE_S
        return math.pow(_HALF, half_lives)
