"""Typed messages between processes and to upstreams."""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports

if TYPE_CHECKING:
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

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'CacheEvent': '_cache_event',
            'CacheEventPage': '_cache_event_page',
            'CallOutcome': '_call_outcome',
            'ControlView': '_control_view',
            'Copy': '_copy',
            'CopyState': '_copy_state',
            'Demand': '_demand',
            'HeldItem': '_held_item',
            'Inventory': '_inventory',
            'LoadReport': '_load_report',
            'Order': '_order',
            'OrderAnswer': '_order_answer',
            'OrderKind': '_order_kind',
            'OrderOutcome': '_order_outcome',
            'PREFIX_BLOCK_CHARACTERS': '_prefix_hash',
            'Residency': '_residency',
            'ViewChange': '_view_change',
            'VmRecord': '_vm_record',
            'prefix_hashes': '_prefix_hash',
        },
    )
