"""What is known of whether a request was executed.

Invariant: an attempt counts as perhaps run from before its first byte is
written until a write of zero bytes or the upstream's word disproves it.
"""

from typing import final

import msgspec

from persimmonhold.failures import Ran, Refusal


@final
class RanEvidence:
    """Evidence from the attempt under way and from earlier ones."""

    __slots__ = ('attempt_ran', 'earlier_ran')

    def __init__(self) -> None:
        """Create the evidence of a request that was never sent."""
        self.attempt_ran = False
        self.earlier_ran = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether any attempt was perhaps executed."""
        return self.earlier_ran or self.attempt_ran

    def end_attempt(self) -> None:
        """Keep what the attempt left behind."""
        self.earlier_ran = self.may_have_run
        self.attempt_ran = False

    def state(self, refusal: Refusal) -> Refusal:
        """Return the refusal with the certainty of execution."""
        ran = Ran.unknown if self.may_have_run else Ran.no
        return msgspec.structs.replace(refusal, ran=ran)
