"""The record of one start of a replica."""

from typing import final

import msgspec


@final
class Boot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The number of a start of a replica, and a random value.

    Each start from the same data folder has the next number. The random value
    tells apart starts that bear the same number because the data folder was
    copied or restored.
    """

    number: int = 0
    nonce: int = 0
