"""The demand for one model at one entry."""

from typing import final

import msgspec


@final
class ModelDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand for a model, as one entry reports it to the fleet controller.

    `arrived` counts requests, and `tokens` their prompt tokens, since the last
    report. `running` and `waiting` are the current numbers of requests.
    """

    service: str
    model: str
    arrived: int = 0
    tokens: int = 0
    running: int = 0
    waiting: int = 0
