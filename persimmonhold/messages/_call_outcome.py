"""The recorded response to a call with an idempotency key."""

from typing import final

import msgspec


@final
class CallOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The response that is replayed to a resend with the same key.

    `body_stored` is false if the body was too large to be stored.
    """

    status: int
    media_type: str
    body: bytes
    body_stored: bool = True
