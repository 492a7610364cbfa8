"""Placement of model copies: memory ledger, planner and order issuer."""

from persimmonhold.placement._action import Action
from persimmonhold.placement._commit_copy import CommitCopy
from persimmonhold.placement._commit_intent import CommitIntent
from persimmonhold.placement._commit_order_end import CommitOrderEnd
from persimmonhold.placement._decision import Decision
from persimmonhold.placement._engine_status import EngineStatus
from persimmonhold.placement._engine_watch import EngineWatch
from persimmonhold.placement._fit import explain_misfit
from persimmonhold.placement._item_key import ItemKey
from persimmonhold.placement._load_balance import TARGET_LOAD, water_fill
from persimmonhold.placement._memory_ledger import MemoryLedger
from persimmonhold.placement._move import Move
from persimmonhold.placement._move_kind import MoveKind
from persimmonhold.placement._order_issuer import OrderIssuer
from persimmonhold.placement._place import Place
from persimmonhold.placement._placement_leader import PlacementLeader
from persimmonhold.placement._placement_state import PlacementState
from persimmonhold.placement._planner import Planner
from persimmonhold.placement._planner_input import PlannerInput
from persimmonhold.placement._presets import PRESETS
from persimmonhold.placement._read_inventory import ReadInventory
from persimmonhold.placement._send_order import SendOrder
from persimmonhold.placement._sizes import required_memory_bytes

__all__ = (
    'PRESETS',
    'TARGET_LOAD',
    'Action',
    'CommitCopy',
    'CommitOrderEnd',
    'CommitIntent',
    'Decision',
    'EngineStatus',
    'EngineWatch',
    'ItemKey',
    'MemoryLedger',
    'Move',
    'MoveKind',
    'OrderIssuer',
    'Place',
    'PlacementLeader',
    'PlacementState',
    'PlannerInput',
    'Planner',
    'ReadInventory',
    'SendOrder',
    'explain_misfit',
    'water_fill',
    'required_memory_bytes',
)
