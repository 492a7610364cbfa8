"""The recorded answer to a call."""

from typing import final

import msgspec


@final
class CallOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The response that a resend of the same key receives again.

    `body_stored` is false where the body was too large to be kept.
    """

    status: int
    media_type: str
    body: bytes
    body_stored: bool = True
