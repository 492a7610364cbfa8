"""The action that begins the response to the caller."""

from typing import final

import msgspec


@final
class StartResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Send the head of the upstream's response to the caller.

    `body_length` is the length of the body if it is already complete; None
    keeps the length that the upstream announced, if any.
    """

    body_length: int | None = None
