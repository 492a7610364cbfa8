"""The recorded answer to a call."""

from typing import final

import msgspec


@final
class CallOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The response that a resend of the same key receives again."""

    status: int
    media_type: str
    body: bytes
