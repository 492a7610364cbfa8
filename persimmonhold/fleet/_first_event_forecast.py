"""What is expected of the time to the first event at an upstream."""

import math
from typing import final

import msgspec


@final
class FirstEventForecast(msgspec.Struct, frozen=True):
    """The expected seconds to the first event, and what they consist of.

    `unread_tokens` have to be read for it, those of earlier prompts included,
    at `tokens_per_s`; the rest of the time is `other_s`. Of them,
    `cached_tokens` are expected in the prompt cache, where their parts were
    last used at `cached_at`; infinity if that is only assumed.
    """

    expected_s: float
    other_s: float = 0
    unread_tokens: float = 0
    cached_tokens: float = 0
    cached_at: float = math.inf
    tokens_per_s: float = 0

    @property
    def saved_s(self) -> float:
        """The time that the prompt cache is expected to save."""
        if not self.tokens_per_s:
            return 0
        return self.cached_tokens / self.tokens_per_s
