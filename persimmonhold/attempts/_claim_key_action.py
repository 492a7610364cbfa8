"""The action that claims an idempotency key."""

from typing import final

import msgspec


@final
class ClaimIdempotencyKey(msgspec.Struct, frozen=True):
    """Claim the request's idempotency key in the control log.

    Report the result with `claim_result_received` or `claim_failed`.
    """
