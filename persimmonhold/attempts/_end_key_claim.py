"""The action that ends the claim of a key."""

from typing import final

import msgspec

from persimmonhold.messages import CallOutcome


@final
class EndKeyClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Record the outcome of a claimed request.

    Without an outcome, the claim is marked as in doubt if `is_in_doubt` is
    set; else it is released, which is requested only if the request certainly
    did not run.
    """

    outcome: CallOutcome | None = None
    is_in_doubt: bool = False
