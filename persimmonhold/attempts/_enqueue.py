"""The action that hands a request to admission."""

from typing import final

import msgspec


@final
class Enqueue(msgspec.Struct, frozen=True):
    """Queue the request for its first attempt."""
