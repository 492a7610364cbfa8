"""Forwards requests by their route, and sends orders to the upstreams.

The bodies of requests are forwarded without being decoded.
"""

from persimmonhold.forwarding._decoded_response_head import (
    DecodedResponseHead,
)
from persimmonhold.forwarding._dialect import Dialect
from persimmonhold.forwarding._entry_status import EntryStatus
from persimmonhold.forwarding._fleet_bounds import FleetBounds
from persimmonhold.forwarding._fleet_client import FleetClient
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
    'FleetRunner',
    'ForwardEntry',
    'ForwardHandler',
    'ForwardHub',
    'ForwardParameters',
    'ForwardServices',
    'PlatformAdapter',
    'ServedAddress',
    'UpstreamClient',
    'DecodedResponseHead',
)
