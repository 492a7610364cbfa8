"""The action that ends the claim of a key."""

from typing import final

import msgspec

from persimmonhold.messages import CallOutcome


@final
class EndKeyClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Record the outcome of a claimed request.

    Without an outcome the claim is released, which is asked only for a
    request that certainly did not run, or marked as in doubt.
    """

    outcome: CallOutcome | None = None
    is_in_doubt: bool = False
