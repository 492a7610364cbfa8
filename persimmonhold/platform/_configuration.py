"""Decodes the operator's configuration into a routing document.

Unknown fields are ignored, since a newer platform may send them; the document
stores the configuration as it was sent, so that reads return all of it.
"""

import zlib
from types import MappingProxyType
from typing import Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold._json import decode_json
from persimmonhold.platform._wire_tenant import WireTenant, convert_tenant
from persimmonhold.platform._wire_types import Integer
from persimmonhold.routes import (
    EngineSpec,
    ForwardRoute,
    ModelSpec,
    RouteKind,
    RouteTarget,
    RoutingDocument,
    ServiceSpec,
    TrafficLimits,
)

_FIELD_CASE: Final = 'kebab'
_ROUTE_KINDS: Final = MappingProxyType({
    'idempotent': RouteKind.idempotent,
    'non_idempotent': RouteKind.non_idempotent,
    'streaming': RouteKind.stream,
})


@final
class _WireTarget(msgspec.Struct, frozen=True, rename=_FIELD_CASE):
    """A service of a route, with its share of the requests."""

    service: str
    weight: float = 1.0


@final
class _WireRoute(msgspec.Struct, frozen=True, rename=_FIELD_CASE):
    """A route; `service` is used if `split` is empty.

    `target_itl_ms` is the longest pause between events, not the mean.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    service: str = ''
    split: tuple[_WireTarget, ...] = ()
    target_latency_ms: float = 1000.0
    priority: Integer = 0
    max_attempts: Integer = 1
    sticky: bool = False
    resumable: bool = False
    target_itl_ms: float = 0.0
    public: bool = False


@final
class _WireModel(msgspec.Struct, frozen=True, rename=_FIELD_CASE):
    """A model: `load_s` is from the weight store, `warmup_s` from memory."""

    name: str
    weights_mb: float
    load_s: float = 0.0
    disk_load_s: float = 0.0
    warmup_s: float = 0.0
    adapters: Integer = 0
    adapter_mb: float = 0.0


@final
class _WireEngine(msgspec.Struct, frozen=True, rename=_FIELD_CASE):
    """An engine; `stride` is the number of tokens per event of a stream."""

    slots: Integer
    weights_mb: float
    kv_capacity: Integer = 0
    adapter_slots: Integer = 0
    loads_per_s: float = 1.0
    stride: Integer = 1
    models: tuple[_WireModel, ...] = ()


@final
class _WireService(msgspec.Struct, frozen=True, rename=_FIELD_CASE):
    """A service; `engine` is None if its upstreams run no models."""

    name: str
    health_path: str = '/healthz'
    max_conns: Integer = 100
    engine: _WireEngine | None = None


@final
class _WireLimits(msgspec.Struct, frozen=True, rename=_FIELD_CASE):
    max_header_bytes: Integer = 16_384
    max_body_bytes: Integer = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0


@final
class _WireConfiguration(msgspec.Struct, frozen=True, rename=_FIELD_CASE):
    """The configuration in the platform's format."""

    version: Integer
    routes: tuple[_WireRoute, ...]
    services: tuple[_WireService, ...]
    limits: _WireLimits = _WireLimits()
    tenants: tuple[WireTenant, ...] = ()


def decode_configuration(body: bytes) -> Result[RoutingDocument, str]:
    """Return the routing document, or why the configuration is invalid."""
    try:
        wire = decode_json(body, _WireConfiguration)
    except msgspec.DecodeError as error:
        return Failed(str(error))
    unknown = [
        route.name for route in wire.routes if route.kind not in _ROUTE_KINDS
    ]
    if unknown:
        return Failed(f'route {unknown[0]}: unknown kind')
    return Success(
        RoutingDocument(
            version=wire.version,
            routes=tuple(
                _convert_route(route, has_workspaces=bool(wire.tenants))
                for route in wire.routes
            ),
            services=tuple(
                _convert_service(service) for service in wire.services
            ),
            limits=TrafficLimits(
                max_head_bytes=wire.limits.max_header_bytes,
                max_body_bytes=wire.limits.max_body_bytes,
                head_timeout_ms=wire.limits.header_timeout_ms,
                idle_timeout_ms=wire.limits.idle_timeout_ms,
            ),
            source=zlib.compress(body),
            workspaces=tuple(map(convert_tenant, wire.tenants))
            or msgspec.UNSET,
        ),
    )


def encode_configuration(document: RoutingDocument) -> bytes:
    """Return the configuration byte for byte as the operator sent it."""
    return zlib.decompress(document.source)


def _convert_route(wire: _WireRoute, *, has_workspaces: bool) -> ForwardRoute:
    """Convert a route; without workspaces, public routes are like others.

    Their field stays unset then, as earlier builds cannot decode it.
    """
    targets = wire.split or (_WireTarget(wire.service),)
    return ForwardRoute(
        name=wire.name,
        host=wire.host,
        path_prefix=wire.path_prefix,
        kind=_ROUTE_KINDS[wire.kind],
        timeout_ms=wire.timeout_ms,
        targets=tuple(
            RouteTarget(target.service, target.weight) for target in targets
        ),
        target_ms=wire.target_latency_ms,
        priority=wire.priority,
        max_attempts=wire.max_attempts,
        is_sticky=wire.sticky,
        is_resumable=wire.resumable,
        max_gap_ms=wire.target_itl_ms,
        is_public=(wire.public and has_workspaces) or msgspec.UNSET,
    )


def _convert_service(wire: _WireService) -> ServiceSpec:
    return ServiceSpec(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_conns,
        engine=None if wire.engine is None else _convert_engine(wire.engine),
    )


def _convert_engine(wire: _WireEngine) -> EngineSpec:
    return EngineSpec(
        slots=wire.slots,
        cache_tokens=wire.kv_capacity,
        weights_mb=wire.weights_mb,
        adapter_slots=wire.adapter_slots,
        store_loads_per_s=wire.loads_per_s,
        tokens_per_event=wire.stride,
        models=tuple(
            ModelSpec(
                name=model.name,
                weights_mb=model.weights_mb,
                store_load_s=model.load_s,
                disk_load_s=model.disk_load_s,
                memory_load_s=model.warmup_s,
                adapters=model.adapters,
                adapter_mb=model.adapter_mb,
            )
            for model in wire.models
        ),
    )
