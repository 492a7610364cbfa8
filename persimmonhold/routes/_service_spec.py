"""The specification of a service."""

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
    """A group of equivalent upstreams; if `engine` is set, they run models.

    `max_connections` bounds the connections of all VMs to one upstream.
    """

    name: str
    health_path: str = '/healthz'
    max_connections: int = 100
    engine: EngineSpec | None = None
