"""The routing document: its structure, validation, and look-up of routes."""

from persimmonhold.routes._engine_spec import EngineSpec
from persimmonhold.routes._find_engine_error import find_engine_error
from persimmonhold.routes._forward_route import ForwardRoute
from persimmonhold.routes._model_spec import ModelSpec
from persimmonhold.routes._route_kind import RouteKind
from persimmonhold.routes._route_table import RouteTable
from persimmonhold.routes._route_target import RouteTarget
from persimmonhold.routes._routing_document import RoutingDocument
from persimmonhold.routes._service_spec import ServiceSpec
from persimmonhold.routes._traffic_limits import TrafficLimits
from persimmonhold.routes._validate_document import validate_document
from persimmonhold.routes._workspace import (
    Workspace,
    WorkspaceLimit,
    hash_key,
)

__all__ = (
    'EngineSpec',
    'ForwardRoute',
    'ModelSpec',
    'RouteKind',
    'RouteTable',
    'RouteTarget',
    'RoutingDocument',
    'ServiceSpec',
    'TrafficLimits',
    'Workspace',
    'WorkspaceLimit',
    'find_engine_error',
    'hash_key',
    'validate_document',
)
