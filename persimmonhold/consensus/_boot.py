"""The record of one start of a replica."""

from typing import final

import msgspec


@final
class Boot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The number of a start and a random value that tells copies apart."""

    number: int = 0
    nonce: int = 0
