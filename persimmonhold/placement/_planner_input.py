"""The input of one planning round."""

from collections.abc import Mapping
from typing import final

import msgspec

from persimmonhold.messages import Demand
from persimmonhold.placement._engine_status import EngineStatus
from persimmonhold.placement._memory_ledger import MemoryLedger
from persimmonhold.placement._placement_state import PlacementState


@final
class PlannerInput(msgspec.Struct, frozen=True, kw_only=True):
    """What the planner knows of the system at the start of a round.

    `state` is the committed catalogue, copies and orders. `ledger` holds the
    worst-case memory reservations. `engines` maps the name of an upstream to
    the status of its engine, `demand` is the reported demand for each target.
    `free_load_slots` is the number of model loads that may be started in
    addition to those in progress: together, at most the `loads_at_once` that
    the weight store serves at full speed. It may be negative.
    `wall_clock_s` is the wall-clock time in seconds, used for the daily
    profile of demand.
    """

    state: PlacementState
    ledger: MemoryLedger
    engines: Mapping[str, EngineStatus]
    demand: tuple[Demand, ...]
    free_load_slots: int
    wall_clock_s: float = 0
