"""The action that ends a complete response to the caller."""

from typing import final

import msgspec


@final
class FinishResponse(msgspec.Struct, frozen=True):
    """End the response to the caller; all of its body has been sent."""
