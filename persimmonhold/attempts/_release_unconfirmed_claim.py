"""The action that releases a claim of which no result is known."""

from typing import final

import msgspec


@final
class ReleaseUnconfirmedClaim(msgspec.Struct, frozen=True):
    """Release the claim if it was committed after all.

    The request was not dispatched, so the key must not stay taken.
    """
