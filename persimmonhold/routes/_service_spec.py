"""A service that routes lead to."""

from typing import final

import msgspec

from persimmonhold.routes._engine_spec import EngineSpec


@final
class ServiceSpec(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """A group of like upstreams; with `engine` they run models.

    `max_connections` bounds the connections to one upstream from all VMs.
    """

    name: str
    health_path: str = '/healthz'
    max_connections: int = 100
    engine: EngineSpec | None = None
