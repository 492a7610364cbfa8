"""The action that releases a claim whose commit was not confirmed."""

from typing import final

import msgspec


@final
class ReleaseUnconfirmedClaim(msgspec.Struct, frozen=True):
    """Release the claim in case it was committed nevertheless.

    The request was not dispatched, so the key must not remain claimed.
    """
