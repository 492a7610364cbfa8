"""Look-up of the route of a request."""

from typing import final

from persimmonhold.routes._forward_route import ForwardRoute
from persimmonhold.routes._key_verdict import UNKNOWN_KEY, KeyVerdict
from persimmonhold.routes._routing_document import RoutingDocument
from persimmonhold.routes._service_spec import ServiceSpec
from persimmonhold.routes._urgency_scale import UrgencyScale
from persimmonhold.routes._workspace import Workspace

_ROOT = '/'


@final
class RouteTable:
    """Finds the route and the workspace of a request in one document.

    The time of a look-up grows with the number of path segments, not with
    the number of routes or keys.
    """

    __slots__ = (
        '_workspaces_by_key',
        'document',
        'routes_by_host',
        'services',
        'urgency',
    )

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
        self._workspaces_by_key: dict[str, Workspace] = {
            key_hash: workspace
            for workspace in document.workspaces or ()
            for key_hash in workspace.key_hashes
        }
        self.urgency = _build_urgency(document)

    @property
    def has_workspaces(self) -> bool:
        """Whether keys are checked, and removed from forwarded requests."""
        return bool(self.document.workspaces)

    def needs_key(self, route: ForwardRoute) -> bool:
        """Tell whether requests to a route need the key of a workspace."""
        return self.has_workspaces and not route.is_public

    def check_key(self, route: ForwardRoute, key_hash: str) -> KeyVerdict:
        """Return the workspace that holds a key, or the refusal."""
        if not self.needs_key(route):
            return KeyVerdict()
        workspace = self._workspaces_by_key.get(key_hash)
        if workspace is None:
            return KeyVerdict(refusal=UNKNOWN_KEY)
        return KeyVerdict(workspace=workspace)

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


def _build_urgency(document: RoutingDocument) -> UrgencyScale:
    """Return the scale of all requests that the document allows."""
    workspace_priorities = {
        workspace.priority for workspace in document.workspaces or ()
    }
    if any(route.is_public for route in document.routes):
        workspace_priorities.add(KeyVerdict().priority)
    return UrgencyScale(
        workspace_priorities, (route.priority for route in document.routes)
    )
