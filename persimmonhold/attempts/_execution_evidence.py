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
    `earlier_may_have_run` for those before it.
    """

    __slots__ = ('attempt_may_have_run', 'earlier_may_have_run')

    def __init__(self) -> None:
        """Create the evidence for a request that was never sent."""
        self.attempt_may_have_run = False
        self.earlier_may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether any attempt may have been executed."""
        return self.earlier_may_have_run or self.attempt_may_have_run

    def end_attempt(self) -> None:
        """Add the evidence of the current attempt to that of earlier ones."""
        self.earlier_may_have_run = self.may_have_run
        self.attempt_may_have_run = False

    def apply_to_refusal(self, refusal: Refusal) -> Refusal:
        """Return the refusal with its `ran` field set from the evidence."""
        ran = Ran.unknown if self.may_have_run else Ran.no
        return msgspec.structs.replace(refusal, ran=ran)
