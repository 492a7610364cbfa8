"""The action that ends a complete response."""

from typing import final

import msgspec


@final
class FinishResponse(msgspec.Struct, frozen=True):
    """End the response; all of its body was sent."""
