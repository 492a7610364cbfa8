"""The action that ends an attempt."""

from typing import final

import msgspec

from persimmonhold.attempts._attempt_fault import AttemptFault


@final
class CloseAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Close the connection of an attempt, which cancels it upstream.

    `fault` is None where the upstream caused no failure.
    """

    attempt_number: int
    fault: AttemptFault | None = None
