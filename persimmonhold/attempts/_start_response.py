"""The action that begins the response."""

from typing import final

import msgspec


@final
class StartResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Relay the head of the attempt's response to the caller.

    `body_length` replaces the announced length where the body is complete;
    None keeps the length that the upstream announced.
    """

    body_length: int | None = None
