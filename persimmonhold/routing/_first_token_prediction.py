"""The predicted time to the first token at one upstream."""

from typing import final

import msgspec


@final
class FirstTokenPrediction(msgspec.Struct, frozen=True):
    """The parts of a predicted time to the first token.

    `wait_ms` is the wait for a slot. `prefill_ms` is the time to prefill the
    prompt and the earlier prompts of this entry. `other_ms` is the sum of a
    decode step, the smoothed prediction error and the penalties for another
    failure domain or an old version. `cached_tokens` counts the prompt tokens
    that are expected to be in the prefix cache.
    """

    wait_ms: float
    prefill_ms: float
    other_ms: float
    cached_tokens: int

    @property
    def total_ms(self) -> float:
        """The predicted time to the first token."""
        return self.wait_ms + self.prefill_ms + self.other_ms

    def describe(self) -> str:
        """Return the parts as human-readable text."""
        return (
            f'queue {self.wait_ms:.0f} ms, prefill {self.prefill_ms:.0f} ms, '
            f'other {self.other_ms:.0f} ms, cached {self.cached_tokens} tokens'
        )
