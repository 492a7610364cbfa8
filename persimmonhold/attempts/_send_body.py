"""The action that sends a part of the answer."""

from typing import final

import msgspec


@final
class SendBody(msgspec.Struct, frozen=True):
    """Send bytes of the answer to the caller."""

    body: bytes
