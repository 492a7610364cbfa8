"""What is known of whether a request was executed.

Invariant: an attempt counts as perhaps run from before its first byte is
written until a write of zero bytes or the upstream's word disproves it.
"""

from typing import final

import msgspec

from persimmonhold.failures import Ran, Refusal


@final
class ExecutionEvidence:
    """Evidence from the attempt under way and from earlier ones."""

    __slots__ = ('attempt_may_have_run', 'earlier_may_have_run')

    def __init__(self) -> None:
        """Create the evidence of a request that was never sent."""
        self.attempt_may_have_run = False
        self.earlier_may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether any attempt was perhaps executed."""
        return self.earlier_may_have_run or self.attempt_may_have_run

    def end_attempt(self) -> None:
        """Keep what the attempt left behind."""
        self.earlier_may_have_run = self.may_have_run
        self.attempt_may_have_run = False

    def apply_to_refusal(self, refusal: Refusal) -> Refusal:
        """Return the refusal with the certainty of execution."""
        ran = Ran.unknown if self.may_have_run else Ran.no
        return msgspec.structs.replace(refusal, ran=ran)
