"""The configurations that the soak sends."""

from typing import Any, Final

from bench.soak._engine import PLACES
from bench.soak._shape import Shape

HOST: Final = 'soak.example'
SERVICES: Final = ('app', 'chat')
ENGINE_SERVICE: Final = 'models'
ROUTES: Final = ('lookup', 'booking', 'stream', 'resumable')
STREAMS: Final = frozenset(('stream', 'resumable'))
NOT_REPEATABLE: Final = frozenset(('booking', 'stream'))
_MODEL_MB: Final = 65_000.0
ADAPTERS: Final = 2  # of each model of a varied system
# Of the workspaces with a limit, in tokens a second; the others have none.
_LIMITS: Final = (400.0, 2_000.0, 20_000.0)
_IDLE_TIMEOUTS_MS: Final = (15_000, 9_000, 12_000)


def build_configuration(version: int, shape: Shape) -> dict[str, Any]:
    """Return a configuration.

    Versions differ in a route that nobody uses and, with workspaces, in a key
    that nobody uses, a limit and the time-out of idle connections.
    """
    streams_at = ENGINE_SERVICE if shape.engine_count else SERVICES[1]
    routes = [_build_route(name, streams_at) for name in ROUTES]
    extra = {**routes[0], 'name': 'extra', 'path-prefix': f'/v{version}/'}
    services: list[dict[str, Any]] = [{'name': name} for name in SERVICES]
    document: dict[str, Any] = {
        'version': version,
        'routes': [*routes, extra],
        'services': services,
        'limits': {'idle-timeout-ms': _IDLE_TIMEOUTS_MS[0]},
    }
    if shape.engine_count:
        engine = _build_engine(shape)
        services.append({'name': ENGINE_SERVICE, 'engine': engine})
    if shape.workspace_count:
        document['tenants'] = [
            _build_workspace(number, version)
            for number in range(shape.workspace_count)
        ]
        idle_ms = _IDLE_TIMEOUTS_MS[version % len(_IDLE_TIMEOUTS_MS)]
        document['limits'] = {'idle-timeout-ms': idle_ms}
    return document


def name_models(count: int) -> tuple[str, ...]:
    """Return the names of so many models, the most popular ones first."""
    return tuple(f'm{number}' for number in range(count))


def name_key(workspace: int) -> str:
    """Return the key of a workspace that all versions have."""
    return f'key-{workspace}'


def _build_route(name: str, streams_at: str) -> dict[str, Any]:
    kind = 'non_idempotent' if name in NOT_REPEATABLE else 'idempotent'
    return {
        'name': name,
        'host': HOST,
        'path-prefix': f'/{name}/',
        'kind': 'streaming' if name in STREAMS else kind,
        'timeout-ms': 12_000,
        'target-latency-ms': 400,
        'service': streams_at if name in STREAMS else SERVICES[0],
        'max-attempts': 2,
        'resumable': name in STREAMS and name not in NOT_REPEATABLE,
    }


def _build_engine(shape: Shape) -> dict[str, Any]:
    return {
        'slots': shape.engine_slots,
        'weights-mb': PLACES * _MODEL_MB,
        'adapter-slots': 2,
        'loads-per-s': 14.0,
        'stride': 8,
        'kv-capacity': 60_000,
        'models': [
            {
                'name': name,
                'weights-mb': _MODEL_MB,
                'load-s': 1.5,
                **({'adapters': ADAPTERS} if shape.is_varied else {}),
            }
            for name in name_models(shape.model_count)
        ],
    }


def _build_workspace(number: int, version: int) -> dict[str, Any]:
    rate = _LIMITS[number % len(_LIMITS)] * (1 + version % 2)
    is_limited = number % 4 > 0
    return {
        'name': f'w{number}',
        'api-keys': [name_key(number), f'unused-{number}-{version}'],
        'unit': 'token_stream',
        'uncached-tokens': 20,
        'rate-per-s': rate if is_limited else 0,
        'burst': 4 * rate if is_limited else 0,
    }
