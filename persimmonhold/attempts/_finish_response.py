"""The action that ends a whole answer."""

from typing import final

import msgspec


@final
class FinishResponse(msgspec.Struct, frozen=True):
    """End the answer; the caller has all of it."""
