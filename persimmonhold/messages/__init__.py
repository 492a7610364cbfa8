"""Typed messages between processes and to upstreams."""

from persimmonhold.messages._cache_event import CacheEvent
from persimmonhold.messages._cache_event_page import CacheEventPage
from persimmonhold.messages._call_outcome import CallOutcome
from persimmonhold.messages._control_view import ControlView
from persimmonhold.messages._copy import Copy
from persimmonhold.messages._copy_state import CopyState
from persimmonhold.messages._demand import Demand
from persimmonhold.messages._held_item import HeldItem
from persimmonhold.messages._inventory import Inventory
from persimmonhold.messages._load_report import LoadReport
from persimmonhold.messages._order import Order
from persimmonhold.messages._order_answer import OrderAnswer
from persimmonhold.messages._order_kind import OrderKind
from persimmonhold.messages._order_outcome import OrderOutcome
from persimmonhold.messages._prefix_hash import (
    PREFIX_BLOCK_CHARACTERS,
    prefix_hashes,
)
from persimmonhold.messages._residency import Residency
from persimmonhold.messages._view_change import ViewChange
from persimmonhold.messages._vm_record import VmRecord

__all__ = (
    'PREFIX_BLOCK_CHARACTERS',
    'CacheEvent',
    'CacheEventPage',
    'CallOutcome',
    'ControlView',
    'Copy',
    'CopyState',
    'Demand',
    'HeldItem',
    'Inventory',
    'LoadReport',
    'Order',
    'OrderAnswer',
    'OrderKind',
    'OrderOutcome',
    'Residency',
    'ViewChange',
    'VmRecord',
    'prefix_hashes',
)
