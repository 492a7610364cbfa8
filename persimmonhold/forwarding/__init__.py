"""Forwards requests by their route, and sends orders to the upstreams.

The bodies of requests are forwarded without being decoded.
"""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports

if TYPE_CHECKING:
    from persimmonhold.forwarding._decoded_response_head import (
        DecodedResponseHead,
    )
    from persimmonhold.forwarding._dialect import Dialect
    from persimmonhold.forwarding._entry_status import EntryStatus
    from persimmonhold.forwarding._fleet_bounds import FleetBounds
    from persimmonhold.forwarding._fleet_client import FleetClient
    from persimmonhold.forwarding._fleet_operator_handler import (
        FleetOperatorHandler,
    )
    from persimmonhold.forwarding._fleet_runner import FleetRunner
    from persimmonhold.forwarding._forward_entry import ForwardEntry
    from persimmonhold.forwarding._forward_handler import ForwardHandler
    from persimmonhold.forwarding._forward_hub import ForwardHub
    from persimmonhold.forwarding._forward_parameters import ForwardParameters
    from persimmonhold.forwarding._forward_services import ForwardServices
    from persimmonhold.forwarding._platform_adapter import (
        PlatformAdapter,
        ServedAddress,
    )
    from persimmonhold.forwarding._quota_client import QuotaClient
    from persimmonhold.forwarding._resumable_event_framer import (
        ResumableEventFramer,
    )
    from persimmonhold.forwarding._upstream_client import UpstreamClient

__all__ = (
    'Dialect',
    'EntryStatus',
    'ResumableEventFramer',
    'FleetBounds',
    'FleetClient',
    'FleetOperatorHandler',
    'FleetRunner',
    'ForwardEntry',
    'ForwardHandler',
    'ForwardHub',
    'ForwardParameters',
    'ForwardServices',
    'PlatformAdapter',
    'QuotaClient',
    'ServedAddress',
    'UpstreamClient',
    'DecodedResponseHead',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'DecodedResponseHead': '_decoded_response_head',
            'Dialect': '_dialect',
            'EntryStatus': '_entry_status',
            'FleetBounds': '_fleet_bounds',
            'FleetClient': '_fleet_client',
            'FleetOperatorHandler': '_fleet_operator_handler',
            'FleetRunner': '_fleet_runner',
            'ForwardEntry': '_forward_entry',
            'ForwardHandler': '_forward_handler',
            'ForwardHub': '_forward_hub',
            'ForwardParameters': '_forward_parameters',
            'ForwardServices': '_forward_services',
            'PlatformAdapter': '_platform_adapter',
            'QuotaClient': '_quota_client',
            'ResumableEventFramer': '_resumable_event_framer',
            'ServedAddress': '_platform_adapter',
            'UpstreamClient': '_upstream_client',
        },
    )
