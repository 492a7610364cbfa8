"""The document with which an operator configures routes and services."""

from typing import final

import msgspec

from persimmonhold.routes._forward_route import ForwardRoute
from persimmonhold.routes._service_spec import ServiceSpec
from persimmonhold.routes._traffic_limits import TrafficLimits
from persimmonhold.routes._workspace import Workspace


@final
class RoutingDocument(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One version of the routes, services and limits that an operator sets.

    Version 0 means that no document has been accepted yet. `source` is
    the document as the operator sent it, compressed with zlib. It is set
    if operators must be able to read the document back unchanged. If
    `workspaces` is set, requests need the key of a workspace. While it is not,
    it is left out when the document is encoded: earlier builds refuse unknown
    fields, and the digest of the view covers the encoded document.
    """

    version: int = 0
    routes: tuple[ForwardRoute, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    limits: TrafficLimits = TrafficLimits()
    source: bytes = b''
    workspaces: tuple[Workspace, ...] | msgspec.UnsetType = msgspec.UNSET

    def find_service(self, name: str) -> ServiceSpec | None:
        """Return the service of that name, or None."""
        return next((one for one in self.services if one.name == name), None)
