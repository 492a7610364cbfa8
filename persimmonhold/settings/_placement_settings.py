"""The section `[placement]`."""

from typing import Annotated, final

import msgspec
from msgspec import Meta


@final
class PlacementSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Weights of the placement planner and limits on loads of models."""

    move_cost: Annotated[
        float,
        Meta(
            ge=0,
            le=1000,
            description='Factor on the cost of a load or unload of a model.',
        ),
    ] = 1
    attainment_weight: Annotated[
        float,
        Meta(
            gt=0,
            le=1000,
            description='Factor on the gain of a load, weighed against cost.',
        ),
    ] = 1
    loads_per_second: Annotated[
        float,
        Meta(
            gt=0,
            le=1000,
            description='Loads from the weight store per second.',
        ),
    ] = 3
    loads_at_once: Annotated[
        int,
        Meta(ge=1, le=1000, description='Concurrent loads at full speed.'),
    ] = 3
    adapters_in_flight: Annotated[
        int,
        Meta(ge=1, le=10_000, description='Concurrent adapter loads.'),
    ] = 25
    quarantine_s: Annotated[
        float,
        Meta(
            ge=0,
            le=3600,
            description='How long memory stays reserved after an uncertain '
            'order to an engine that ignores fencing tokens.',
        ),
    ] = 30
