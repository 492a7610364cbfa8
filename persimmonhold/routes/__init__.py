"""The routing document: its structure, validation, and look-up of routes."""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports

if TYPE_CHECKING:
    from persimmonhold.routes._engine_spec import EngineSpec
    from persimmonhold.routes._find_document_error import find_document_error
    from persimmonhold.routes._find_engine_error import find_engine_error
    from persimmonhold.routes._find_workspace_error import find_workspace_error
    from persimmonhold.routes._forward_route import ForwardRoute
    from persimmonhold.routes._key_verdict import UNKNOWN_KEY, KeyVerdict
    from persimmonhold.routes._model_spec import ModelSpec
    from persimmonhold.routes._route_kind import RouteKind
    from persimmonhold.routes._route_table import RouteTable
    from persimmonhold.routes._route_target import RouteTarget
    from persimmonhold.routes._routing_document import RoutingDocument
    from persimmonhold.routes._service_spec import ServiceSpec
    from persimmonhold.routes._traffic_limits import TrafficLimits
    from persimmonhold.routes._urgency_scale import UrgencyScale
    from persimmonhold.routes._validate_document import validate_document
    from persimmonhold.routes._workspace import (
        Workspace,
        WorkspaceLimit,
        fingerprint_key,
        hash_key,
    )

__all__ = (
    'UNKNOWN_KEY',
    'EngineSpec',
    'ForwardRoute',
    'KeyVerdict',
    'ModelSpec',
    'RouteKind',
    'RouteTable',
    'RouteTarget',
    'RoutingDocument',
    'ServiceSpec',
    'TrafficLimits',
    'UrgencyScale',
    'Workspace',
    'WorkspaceLimit',
    'find_document_error',
    'find_engine_error',
    'find_workspace_error',
    'fingerprint_key',
    'hash_key',
    'validate_document',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'EngineSpec': '_engine_spec',
            'ForwardRoute': '_forward_route',
            'KeyVerdict': '_key_verdict',
            'ModelSpec': '_model_spec',
            'RouteKind': '_route_kind',
            'RouteTable': '_route_table',
            'RouteTarget': '_route_target',
            'RoutingDocument': '_routing_document',
            'ServiceSpec': '_service_spec',
            'TrafficLimits': '_traffic_limits',
            'UNKNOWN_KEY': '_key_verdict',
            'UrgencyScale': '_urgency_scale',
            'Workspace': '_workspace',
            'WorkspaceLimit': '_workspace',
            'find_document_error': '_find_document_error',
            'find_engine_error': '_find_engine_error',
            'find_workspace_error': '_find_workspace_error',
            'fingerprint_key': '_workspace',
            'hash_key': '_workspace',
            'validate_document': '_validate_document',
        },
    )
