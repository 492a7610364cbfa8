"""The memory ledger, the planner and the issuing of orders."""

from persimmonhold.placement._static_plan import memory_bytes, plan_missing

__all__ = ('memory_bytes', 'plan_missing')
