"""What an entry was asked for of one model."""

from typing import final

import msgspec


@final
class ModelDemand(msgspec.Struct, frozen=True, array_like=True):
    """Counts since the last report; `running` and `waiting` are of now."""

    service: str
    model: str
    arrived: int = 0
    tokens: int = 0
    running: int = 0
    waiting: int = 0
