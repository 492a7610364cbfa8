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

    The time of a look-up grows with the number of different lengths of the
    prefixes of a host, not with the number of routes or keys, nor with the
    path, whose length the caller chooses.
    """

    __slots__ = (
        '_lengths_by_host',
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
        self._lengths_by_host = {
            host: sorted(set(map(len, prefixes)), reverse=True)
            for host, prefixes in self.routes_by_host.items()
        }
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
        name = host.lower()
        if name not in self.routes_by_host:
            name = name.rpartition(':')[0]
        prefixes = self.routes_by_host.get(name)
        if prefixes is None or not path.startswith(_ROOT):
            return None
        for length in self._lengths_by_host[name]:
            # Only whole segments match.
            if path[length - 1 : length] == _ROOT:
                route = prefixes.get(path[:length])
                if route is not None:
                    return route
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
