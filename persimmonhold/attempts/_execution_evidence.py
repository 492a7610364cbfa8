"""Tracks whether a request may have been executed at an upstream.

Invariant: an attempt is recorded as possibly run before its first byte is
written. This is taken back only if it is known that no byte was written, or if
the upstream has stated that it did not run the request.
"""

from typing import final

import msgspec

from persimmonhold.failures import Ran, Refusal


@final
class ExecutionEvidence:
    """Records whether the attempts of one request may have run.

    `attempt_may_have_run` is set for the current attempt,
    `earlier_may_have_run` for those before it. `lost_count` counts the attempts
    in a row whose upstream was lost before it delivered anything.
    """

    __slots__ = (
        '_delivered_tokens',
        'attempt_may_have_run',
        'earlier_may_have_run',
        'lost_count',
    )

    def __init__(self) -> None:
        """Create the evidence for a request that was never sent."""
        self.attempt_may_have_run = False
        self.earlier_may_have_run = False
        self.lost_count = 0
        self._delivered_tokens = 0

    @property
    def may_have_run(self) -> bool:
        """Tell whether any attempt may have been executed."""
        return self.earlier_may_have_run or self.attempt_may_have_run

    def end_attempt(self) -> None:
        """Add the evidence of the current attempt to that of earlier ones."""
        self.earlier_may_have_run = self.may_have_run
        self.attempt_may_have_run = False

    def count_lost_attempt(
        self, delivered_tokens: int, *, is_lost: bool
    ) -> None:
        """Count a failed attempt if its upstream was lost.

        `delivered_tokens` are those of all attempts.
        """
        if delivered_tokens > self._delivered_tokens:
            self.lost_count = 0
        elif is_lost and self.attempt_may_have_run:
            self.lost_count += 1
        self._delivered_tokens = delivered_tokens

    def apply_to_refusal(self, refusal: Refusal) -> Refusal:
        """Return the refusal with its `ran` field set from the evidence."""
        ran = Ran.unknown if self.may_have_run else Ran.no
        return msgspec.structs.replace(refusal, ran=ran)
