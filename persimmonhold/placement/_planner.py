"""Plans moves: repair first, then upgrades, improvement and spread.

A round plans no more loads than the weight store can take. Copies that
nothing needs stay where they are until their memory is wanted, so that idle
hours bring no moves.
"""

from typing import final

from persimmonhold.placement._adapter_plan import plan_adapters
from persimmonhold.placement._copy_retirement import plan_retirements
from persimmonhold.placement._decision import Decision
from persimmonhold.placement._demand_forecast import DemandForecast
from persimmonhold.placement._explanations import Explanations
from persimmonhold.placement._improvement import Improvement
from persimmonhold.placement._move import Move
from persimmonhold.placement._move_limits import MoveLimits
from persimmonhold.placement._move_maker import MoveMaker
from persimmonhold.placement._plan_round import PlanRound
from persimmonhold.placement._plan_view import PlannerInput
from persimmonhold.placement._repair import (
    missing_models,
    repair,
    repair_adapters,
    spread,
)
from persimmonhold.placement._swap_book import SwapBook
from persimmonhold.settings import PlacementSettings


@final
class Planner:
    """Plans for one leadership; all that it keeps is bounded."""

    __slots__ = (
        '_explanations',
        '_forecast',
        '_improvement',
        '_settings',
        '_swaps',
    )

    def __init__(self, settings: PlacementSettings) -> None:
        """Create a planner that has seen no demand yet."""
        self._settings = settings
        self._forecast = DemandForecast()
        self._explanations = Explanations()
        self._improvement = Improvement(settings)
        self._swaps = SwapBook()

    def plan(self, view: PlannerInput, now: float) -> tuple[Move, ...]:
        """Return the moves to make now, the most urgent first.

        The ledger of the view is used up: planned loads are reserved in it.
        """
        planned = self._begin(view, now)
        maker = MoveMaker(planned, self._swaps, self._explanations, now)
        self._swaps.follow(planned, now)
        plan_adapters(planned)
        repair(maker)
        repair_adapters(maker)
        planned.moves.extend(plan_retirements(planned))
        self._improvement.plan(maker, now)
        spread(maker)
        self._explain(planned, now)
        return tuple(planned.moves)

    def explain(self, target: str) -> tuple[Decision, ...]:
        """Return the kept decisions about a model or adapter."""
        return self._explanations.of_target(target)

    def _begin(self, view: PlannerInput, now: float) -> PlanRound:
        self._forecast.observe(
            view.state.catalogue,
            view.demand,
            tuple(view.engines.values()),
            now,
            view.wall_clock_s,
        )
        planned = PlanRound(
            view,
            self._forecast.predict(view.wall_clock_s),
            MoveLimits(view.free_load_slots, self._settings.loads_at_once),
        )
        self._improvement.observe(planned, now)
        return planned

    def _explain(self, planned: PlanRound, now: float) -> None:
        for move in planned.moves:
            self._explanations.record_move(move, now)
        missing = {model.name for model in missing_models(planned)}
        wanting = missing | self._improvement.overloaded_since.keys()
        for model in planned.models:
            if model.name not in wanting:
                self._explanations.clear_blocked(model.name)
        self._explanations.retain(planned.catalogue.entries.keys())
