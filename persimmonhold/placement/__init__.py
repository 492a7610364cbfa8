"""The memory ledger, the planner and the issuing of orders."""

from persimmonhold.placement._fit import check_fit
from persimmonhold.placement._item_key import ItemKey
from persimmonhold.placement._memory_ledger import MemoryLedger
from persimmonhold.placement._place import Place
from persimmonhold.placement._sizes import memory_bytes
from persimmonhold.placement._static_plan import plan_missing

__all__ = (
    'ItemKey',
    'MemoryLedger',
    'Place',
    'check_fit',
    'memory_bytes',
    'plan_missing',
)
