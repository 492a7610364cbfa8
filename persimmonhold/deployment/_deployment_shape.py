"""Sizes of the two reference deployments, as the requirements state them."""

from typing import Final, final

import msgspec

from persimmonhold.placement import PRESETS

_GIGABYTE: Final = 1_000_000_000


@final
class DeploymentShape(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers and sizes of the models and upstreams of a deployment.

    Models take their weight sizes from `model_weights_gb` and their service
    classes from `service_classes`, both in rotation. Service replicas serve
    `calls_service` and the status service in turn. `adapter_load_ms` sets the
    stand-in engines; the placement settings of each VM are `move_cost`,
    `attainment_weight` and the limits on loads and adapters.
    """

    name: str
    owner: str
    failure_domains: tuple[str, ...]
    model_name_prefix: str
    model_count: int
    adapter_count: int
    engine_count: int
    calls_service: str
    service_replica_count: int
    service_classes: tuple[str, ...]
    model_weights_gb: tuple[int, ...]
    adapter_load_ms: float
    move_cost: float
    attainment_weight: float
    loads_at_once: int
    adapters_in_flight: int
    loads_per_second: float = 3
    memory_bytes: int = 80 * _GIGABYTE
    kv_floor_bytes: int = 4 * _GIGABYTE
    adapter_bytes: int = _GIGABYTE // 10

    def weight_bytes(self, model_number: int) -> int:
        """Return the size of the weights of a model; numbers start at 0."""
        cycle = self.model_weights_gb
        return cycle[model_number % len(cycle)] * _GIGABYTE


HOOGWERK: Final = DeploymentShape(
    name='hoogwerk',
    owner='hoogwerk',
    failure_domains=('nl-west-a', 'nl-west-b', 'nl-west-c', 'nl-west-d'),
    model_name_prefix='tutor',
    model_count=20,
    adapter_count=120,
    engine_count=9,
    calls_service='bookings',
    service_replica_count=4,
    service_classes=('interactive', 'interactive', 'check', 'batch'),
    model_weights_gb=(14, 14, 26, 8),
    adapter_load_ms=7,
    move_cost=PRESETS['hoogwerk'].move_cost,
    attainment_weight=PRESETS['hoogwerk'].attainment_weight,
    loads_at_once=3,
    adapters_in_flight=25,
)
LEVY: Final = DeploymentShape(
    name='levy',
    owner='levy-office',
    failure_domains=('kyushu-a', 'kyushu-b', 'kyushu-c'),
    model_name_prefix='guide',
    model_count=30,
    adapter_count=120,
    engine_count=9,
    calls_service='lodgements',
    service_replica_count=3,
    service_classes=('interactive', 'check', 'batch'),
    model_weights_gb=(14, 8, 16),
    adapter_load_ms=9,
    move_cost=PRESETS['levy'].move_cost,
    attainment_weight=PRESETS['levy'].attainment_weight,
    loads_at_once=4,
    adapters_in_flight=30,
)
SHAPES: Final = (HOOGWERK, LEVY)
