"""Look-up of the route of a request."""

from typing import final

from persimmonhold.routes._forward_route import ForwardRoute
from persimmonhold.routes._routing_document import RoutingDocument
from persimmonhold.routes._service_spec import ServiceSpec

_ROOT = '/'


@final
class RouteTable:
    """Finds the route of a request in one routing document.

    The time of a look-up grows with the number of path segments, not with
    the number of routes.
    """

    __slots__ = ('routes_by_host', 'document', 'services')

    def __init__(self, document: RoutingDocument) -> None:
        """Index a valid document."""
        self.document = document
        self.routes_by_host: dict[str, dict[str, ForwardRoute]] = {}
        self.services: dict[str, ServiceSpec] = {
            service.name: service for service in document.services
        }
        for route in document.routes:
            prefixes = self.routes_by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def find_route(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route with the longest matching prefix, or None.

        `host` may include a port.
        """
        prefixes = self.routes_by_host.get(host.lower())
        if prefixes is None:
            prefixes = self.routes_by_host.get(host.lower().rpartition(':')[0])
        if prefixes is None or not path.startswith(_ROOT):
            return None
        end = len(path)
        while end > 0:
            slash = path.rfind(_ROOT, 0, end)
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None
