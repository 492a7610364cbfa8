"""Forwards opaque requests by their route, and runs the fleet behind them."""

from persimmonhold.forwarding._dialect import Dialect
from persimmonhold.forwarding._entry_status import EntryStatus
from persimmonhold.forwarding._event_relay import EventRelay
from persimmonhold.forwarding._fleet_bounds import FleetBounds
from persimmonhold.forwarding._fleet_client import FleetClient
from persimmonhold.forwarding._fleet_runner import FleetRunner
from persimmonhold.forwarding._forward_entry import ForwardEntry
from persimmonhold.forwarding._forward_handler import ForwardHandler
from persimmonhold.forwarding._forward_hub import ForwardHub
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.forwarding._forward_terms import ForwardTerms
from persimmonhold.forwarding._platform_adapter import (
    PlatformAdapter,
    ServedAddress,
)
from persimmonhold.forwarding._upstream_answer import UpstreamAnswer
from persimmonhold.forwarding._upstream_source import UpstreamSource

__all__ = (
    'Dialect',
    'EntryStatus',
    'EventRelay',
    'FleetBounds',
    'FleetClient',
    'FleetRunner',
    'ForwardEntry',
    'ForwardHandler',
    'ForwardHub',
    'ForwardServices',
    'ForwardTerms',
    'PlatformAdapter',
    'ServedAddress',
    'UpstreamAnswer',
    'UpstreamSource',
)
