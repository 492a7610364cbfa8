"""The action that releases a key claim whose commit was not confirmed."""

from typing import final

import msgspec


@final
class ReleaseUnconfirmedClaim(msgspec.Struct, frozen=True):
    """Release the claim of the idempotency key in case it was committed.

    The request was not dispatched, so the key must not remain claimed.
    """
