"""The configurations that the soak sends."""

from typing import Any, Final

HOST: Final = 'soak.example'
SERVICES: Final = ('app', 'chat')
ROUTES: Final = ('lookup', 'booking', 'stream', 'resumable')
STREAMS: Final = frozenset(('stream', 'resumable'))
NOT_REPEATABLE: Final = frozenset(('booking', 'stream'))


def build_configuration(version: int) -> dict[str, Any]:
    """Return a configuration; versions differ in a route that nobody uses."""
    routes = [_build_route(name) for name in ROUTES]
    extra = {**routes[0], 'name': 'extra', 'path-prefix': f'/v{version}/'}
    return {
        'version': version,
        'routes': [*routes, extra],
        'services': [{'name': name} for name in SERVICES],
        'limits': {'idle-timeout-ms': 15_000},
    }


def _build_route(name: str) -> dict[str, Any]:
    kind = 'non_idempotent' if name in NOT_REPEATABLE else 'idempotent'
    return {
        'name': name,
        'host': HOST,
        'path-prefix': f'/{name}/',
        'kind': 'streaming' if name in STREAMS else kind,
        'timeout-ms': 12_000,
        'target-latency-ms': 400,
        'service': 'chat' if name in STREAMS else 'app',
        'max-attempts': 2,
        'resumable': name in STREAMS and name not in NOT_REPEATABLE,
    }
