"""The action that closes the connection of an attempt."""

from typing import final

import msgspec

from persimmonhold.attempts._attempt_fault import AttemptFault


@final
class CloseAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Close the connection of an attempt, which cancels it upstream.

    `fault` is why the attempt failed; None if this entry or the caller ends
    it.
    """

    attempt_number: int
    fault: AttemptFault | None = None
