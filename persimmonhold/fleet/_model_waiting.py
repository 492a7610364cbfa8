"""How many requests for a model wait at other entries."""

from typing import final

import msgspec

from persimmonhold.fleet._waiting_class import WaitingClass


@final
class ModelWaiting(msgspec.Struct, frozen=True, array_like=True):
    """The number of requests for a model that wait at all other entries.

    `classes` has their priorities, as far as the entries report them.
    """

    service: str
    model: str
    count: int
    classes: tuple[WaitingClass, ...] = ()
