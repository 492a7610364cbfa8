"""Placement settings of the two existing deployments, by name.

Hoogwerk Opfrisacademie has no staff at night, so a move has to gain a lot.
The Kyushu levy office has to meet deadline peaks on its existing hardware, so
attained requests weigh more.
"""

from types import MappingProxyType
from typing import Final

from persimmonhold.settings import PlacementSettings

_HOOGWERK_MOVE_COST: Final = 0.25
_HOOGWERK_ADAPTERS_IN_FLIGHT: Final = 25
_LEVY_MOVE_COST: Final = 0.1
_LEVY_ADAPTERS_IN_FLIGHT: Final = 30

PRESETS: Final = MappingProxyType({
    'hoogwerk': PlacementSettings(
        move_cost=_HOOGWERK_MOVE_COST,
        attainment_weight=1,
        loads_per_second=3,
        loads_at_once=3,
        adapters_in_flight=_HOOGWERK_ADAPTERS_IN_FLIGHT,
    ),
    'levy': PlacementSettings(
        move_cost=_LEVY_MOVE_COST,
        attainment_weight=2,
        loads_per_second=3,
        loads_at_once=4,
        adapters_in_flight=_LEVY_ADAPTERS_IN_FLIGHT,
    ),
})
