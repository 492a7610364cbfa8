"""Dispatch and model placement for upstreams that the platform lists.

An entry decides when and where to send a request. The fleet controller, on
the one VM that issues orders, decides which models and adapters each upstream
loads. Nothing in this package performs input or output.
"""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports
from persimmonhold.fleet._attempt_end import AttemptEnd
from persimmonhold.fleet._demand_meter import FleetDemandMeter
from persimmonhold.fleet._dispatch_request import DispatchRequest
from persimmonhold.fleet._fleet_messages import (
    AdapterLoadReply,
    AdapterLoadRequest,
    CreditReply,
    CreditRequest,
    EntryReport,
    FleetMessage,
    FleetUpdate,
    PermitReply,
    PermitRequest,
    SlotRequest,
    SlotReturn,
    StatedLimit,
    WantedCopy,
)
from persimmonhold.fleet._fleet_order import (
    FleetOrder,
    FleetOrderKind,
    OrderVerdict,
)
from persimmonhold.fleet._forward_action import (
    ForwardAction,
    RefuseRequest,
    SendRequest,
)
from persimmonhold.fleet._forward_dispatcher import (
    ForwardDispatcher,
    refuse_if_stopping,
)
from persimmonhold.fleet._hedging import (
    adopt_hedge,
    drop_hedge,
    record_overdue,
    submit_hedge,
)
from persimmonhold.fleet._held_model import HeldModel
from persimmonhold.fleet._listed_upstream import ListedUpstream
from persimmonhold.fleet._model_demand import ModelDemand
from persimmonhold.fleet._request_profile import RequestProfile
from persimmonhold.fleet._retry_budget import RetryBounds, RetryBudget
from persimmonhold.fleet._shared_load import SharedLoad
from persimmonhold.fleet._upstream_facts import UpstreamFacts
from persimmonhold.fleet._upstream_report import UpstreamReport

if TYPE_CHECKING:
    from persimmonhold.fleet._copy_planner import CopyPlanner, PlannedOrder
    from persimmonhold.fleet._fleet_controller import FleetController
    from persimmonhold.fleet._fleet_demand import FleetDemand
    from persimmonhold.fleet._model_load import ModelLoad
    from persimmonhold.fleet._update_schedule import UpdateSchedule
    from persimmonhold.fleet._upstream_ledger import UpstreamLedger

__all__ = (
    'AdapterLoadReply',
    'AdapterLoadRequest',
    'AttemptEnd',
    'CopyPlanner',
    'CreditReply',
    'CreditRequest',
    'DispatchRequest',
    'EntryReport',
    'FleetController',
    'FleetDemand',
    'FleetDemandMeter',
    'FleetMessage',
    'FleetOrder',
    'FleetOrderKind',
    'FleetUpdate',
    'ForwardAction',
    'ForwardDispatcher',
    'HeldModel',
    'ListedUpstream',
    'ModelDemand',
    'ModelLoad',
    'OrderVerdict',
    'PermitReply',
    'PermitRequest',
    'PlannedOrder',
    'RefuseRequest',
    'RequestProfile',
    'RetryBounds',
    'RetryBudget',
    'SendRequest',
    'SharedLoad',
    'SlotRequest',
    'SlotReturn',
    'StatedLimit',
    'UpdateSchedule',
    'UpstreamFacts',
    'UpstreamLedger',
    'UpstreamReport',
    'WantedCopy',
    'adopt_hedge',
    'drop_hedge',
    'record_overdue',
    'refuse_if_stopping',
    'submit_hedge',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'CopyPlanner': '_copy_planner',
            'FleetController': '_fleet_controller',
            'FleetDemand': '_fleet_demand',
            'ModelLoad': '_model_load',
            'PlannedOrder': '_copy_planner',
            'UpdateSchedule': '_update_schedule',
            'UpstreamLedger': '_upstream_ledger',
        },
    )
