"""The section `[placement]`."""

from typing import Annotated, final

import msgspec
from msgspec import Meta


@final
class PlacementSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Weights of the planner and the pace of the weight store."""

    move_cost: Annotated[
        float,
        Meta(ge=0, le=1000, description='Gain that a move has to bring.'),
    ] = 1
    attainment_weight: Annotated[
        float,
        Meta(gt=0, le=1000, description='Worth of attained requests.'),
    ] = 1
    loads_per_second: Annotated[
        float,
        Meta(gt=0, le=1000, description='Loads a second of the store.'),
    ] = 3
    loads_at_once: Annotated[
        int,
        Meta(ge=1, le=1000, description='Loads at once at full speed.'),
    ] = 3
    adapters_in_flight: Annotated[
        int,
        Meta(ge=1, le=10_000, description='Adapters in flight.'),
    ] = 25
    quarantine_s: Annotated[
        float,
        Meta(
            ge=0,
            le=3600,
            description='Reservation after a doubtful order of an engine '
            'that ignores fencing numbers.',
        ),
    ] = 30
