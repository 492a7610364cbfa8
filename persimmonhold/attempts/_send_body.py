"""The action that sends a part of the response body to the caller."""

from typing import final

import msgspec


@final
class SendBody(msgspec.Struct, frozen=True):
    """Send bytes of the response body to the caller."""

    body: bytes
