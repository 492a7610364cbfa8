"""The action that begins the answer."""

from typing import final

import msgspec


@final
class StartResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Relay the head of the attempt's answer to the caller.

    `body_length` replaces the announced length where the body is whole;
    None keeps what the upstream announced.
    """

    body_length: int | None = None
