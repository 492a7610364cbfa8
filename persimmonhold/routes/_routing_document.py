"""The whole routing document."""

from typing import final

import msgspec

from persimmonhold.routes._forward_route import ForwardRoute
from persimmonhold.routes._service_spec import ServiceSpec
from persimmonhold.routes._traffic_limits import TrafficLimits


@final
class RoutingDocument(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Routes, services and limits at one version; version 0 is none.

    `source` is what the operator sent, compressed by zlib, where a reader
    has to get it back as it was.
    """

    version: int = 0
    routes: tuple[ForwardRoute, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    limits: TrafficLimits = TrafficLimits()
    source: bytes = b''

    def find_service(self, name: str) -> ServiceSpec | None:
        """Return the service of that name, or None."""
        return next((one for one in self.services if one.name == name), None)
