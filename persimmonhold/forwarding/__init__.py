"""Forwards opaque requests by their route, and runs the fleet behind them."""

from persimmonhold.forwarding._dialect import Dialect
from persimmonhold.forwarding._entry_status import EntryStatus
from persimmonhold.forwarding._event_framer import EventFramer
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
from persimmonhold.forwarding._upstream_client import UpstreamClient
from persimmonhold.forwarding._upstream_response_head import (
    UpstreamResponseHead,
)

__all__ = (
    'Dialect',
    'EntryStatus',
    'EventFramer',
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
    'UpstreamResponseHead',
)
