"""Validates a routing document before it is accepted."""

from collections.abc import Iterator

from persimmonhold.routes._forward_route import ForwardRoute
from persimmonhold.routes._routing_document import RoutingDocument


def validate_document(document: RoutingDocument) -> str:
    """Return the first error, or an empty string if the document is valid."""
    return next(_find_errors(document), '')


def _find_errors(document: RoutingDocument) -> Iterator[str]:
    if document.version < 1:
        yield f'version {document.version}: expected 1 or more'
    names = [service.name for service in document.services]
    if len(set(names)) != len(names):
        yield 'two services have the same name'
    seen_prefixes: set[tuple[str, str]] = set()
    for route in document.routes:
        yield from _find_route_errors(route, frozenset(names))
        prefix = (route.host.lower(), route.path_prefix)
        if prefix in seen_prefixes:
            yield f'route {route.name}: host and path prefix are taken'
        seen_prefixes.add(prefix)


def _find_route_errors(
    route: ForwardRoute,
    services: frozenset[str],
) -> Iterator[str]:
    if route.timeout_ms <= 0:
        yield f'route {route.name}: timeout has to be above 0'
    if not (route.path_prefix.startswith('/') and route.path_prefix[-1] == '/'):
        yield f'route {route.name}: prefix has to begin and end with a slash'
    weights = [target.weight for target in route.targets]
    if min(weights, default=0) < 0 or sum(weights) <= 0:
        yield f'route {route.name}: weights have to add up to more than 0'
    for target in route.targets:
        if target.service not in services:
            yield f'route {route.name}: unknown service {target.service}'
