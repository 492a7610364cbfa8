"""The demand for one model at one entry."""

from typing import final

import msgspec

from persimmonhold.fleet._waiting_class import WaitingClass


@final
class ModelDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand for a model, as one entry reports it to the fleet controller.

    `arrived` counts requests, and `tokens` their prompt tokens, since the last
    report. `running` and `waiting` are the current numbers of requests.
    `classes` has the priorities of those that wait.
    """

    service: str
    model: str
    arrived: int = 0
    tokens: int = 0
    running: int = 0
    waiting: int = 0
    classes: tuple[WaitingClass, ...] = ()
