"""How many requests for a model wait at other entries."""

from typing import final

import msgspec


@final
class ModelWaiting(msgspec.Struct, frozen=True, array_like=True):
    """The number of requests for a model that wait at all other entries."""

    service: str
    model: str
    count: int
