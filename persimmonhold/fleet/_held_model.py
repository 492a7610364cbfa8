"""A model that an upstream holds."""

from typing import final

import msgspec


@final
class HeldModel(msgspec.Struct, frozen=True, array_like=True):
    """A model that an upstream holds, and its adapters there.

    If `is_retiring`, it is about to be evicted and gets no new requests.
    """

    name: str
    version: int = 0
    adapters: tuple[str, ...] = ()
    is_retiring: bool = False
