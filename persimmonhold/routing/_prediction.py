"""The predicted time to the first token at one upstream."""

from typing import final

import msgspec


@final
class Prediction(msgspec.Struct, frozen=True):
    """Parts of the prediction in milliseconds.

    `hit_tokens` is the part of the prompt that need not be read again.
    """

    wait_ms: float
    prefill_ms: float
    other_ms: float
    hit_tokens: int

    @property
    def total_ms(self) -> float:
        """The whole time to the first token."""
        return self.wait_ms + self.prefill_ms + self.other_ms

    def describe(self) -> str:
        """Return the parts for people."""
        return (
            f'queue {self.wait_ms:.0f} ms, prefill {self.prefill_ms:.0f} ms, '
            f'other {self.other_ms:.0f} ms, cached {self.hit_tokens} tokens'
        )
