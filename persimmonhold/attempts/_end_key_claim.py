"""The action that ends the claim of an idempotency key."""

from typing import final

import msgspec

from persimmonhold.messages import CallOutcome


@final
class EndKeyClaim(msgspec.Struct, frozen=True, kw_only=True):
    """End the claim of the request's idempotency key in the control log.

    With an `outcome`, record it to answer resends. Without one, mark the claim
    as in doubt if `is_in_doubt` is set, which means that the request may have
    run; else release the claim.
    """

    outcome: CallOutcome | None = None
    is_in_doubt: bool = False
