"""The action that claims an idempotency key."""

from typing import final

import msgspec


@final
class ClaimIdempotencyKey(msgspec.Struct, frozen=True):
    """Commit a claim of the request's idempotency key; report the result."""
