"""A model that an upstream holds."""

from typing import final

import msgspec


@final
class HeldModel(msgspec.Struct, frozen=True, array_like=True):
    """A model with its adapters; if `is_retiring`, it gets no new requests."""

    name: str
    version: int = 0
    adapters: tuple[str, ...] = ()
    is_retiring: bool = False
