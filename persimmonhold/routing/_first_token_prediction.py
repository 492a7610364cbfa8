"""The predicted time to the first token at one upstream."""

from typing import final

import msgspec


@final
class FirstTokenPrediction(msgspec.Struct, frozen=True):
    """Predicted time to the first token, in parts of milliseconds.

    `hit_tokens` counts the prompt tokens that are expected to be in the
    prefix cache.
    """

    wait_ms: float
    prefill_ms: float
    other_ms: float
    cached_tokens: int

    @property
    def total_ms(self) -> float:
        """The sum of all parts."""
        return self.wait_ms + self.prefill_ms + self.other_ms

    def describe(self) -> str:
        """Return the parts as human-readable text."""
        return (
            f'queue {self.wait_ms:.0f} ms, prefill {self.prefill_ms:.0f} ms, '
            f'other {self.other_ms:.0f} ms, cached {self.cached_tokens} tokens'
        )
