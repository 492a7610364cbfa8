"""Plans the moves of a round in order of urgency.

Pending swaps and adapters come first, then missing copies, retirement of
outdated copies, more copies of overloaded models, and the spread over failure
domains. A round plans no more model loads than the weight store can take.
Surplus copies stay resident until their memory is needed, so that idle hours
cause no moves.
"""

from typing import final

from persimmonhold.placement._adapter_plan import plan_adapters
from persimmonhold.placement._copy_retirement import plan_retirements
from persimmonhold.placement._decision import Decision
from persimmonhold.placement._decision_history import DecisionHistory
from persimmonhold.placement._demand_forecast import DemandForecast
from persimmonhold.placement._move import Move
from persimmonhold.placement._move_limits import MoveLimits
from persimmonhold.placement._move_planner import MovePlanner
from persimmonhold.placement._pending_swaps import PendingSwaps
from persimmonhold.placement._plan_context import PlanContext
from persimmonhold.placement._planner_input import PlannerInput
from persimmonhold.placement._repair import (
    find_under_replicated_models,
    plan_base_copies_for_adapters,
    plan_domain_spread,
    plan_missing_copies,
)
from persimmonhold.placement._scale_out import ScaleOut
from persimmonhold.settings import PlacementSettings


@final
class Planner:
    """Plans the moves of all planning rounds of one leadership.

    The state kept between rounds is bounded by the catalogue and its copies.
    """

    __slots__ = (
        '_decision_history',
        '_forecast',
        '_pending_swaps',
        '_scale_out',
        '_settings',
    )

    def __init__(self, settings: PlacementSettings) -> None:
        """Create a planner without demand observations."""
        self._settings = settings
        self._forecast = DemandForecast()
        self._decision_history = DecisionHistory()
        self._scale_out = ScaleOut(settings)
        self._pending_swaps = PendingSwaps()

    def plan_moves(
        self, planner_input: PlannerInput, now: float
    ) -> tuple[Move, ...]:
        """Return the moves to make now, the most urgent first.

        Planned loads are reserved in the ledger of the input, which must not be
        used again.
        """
        context = self._begin_round(planner_input, now)
        move_planner = MovePlanner(
            context, self._pending_swaps, self._decision_history, now
        )
        self._pending_swaps.advance_swaps(context, now)
        plan_adapters(context)
        plan_missing_copies(move_planner)
        plan_base_copies_for_adapters(move_planner)
        context.moves.extend(plan_retirements(context))
        self._scale_out.plan_copies(move_planner, now)
        plan_domain_spread(move_planner)
        self._record_decisions(context, now)
        return tuple(context.moves)

    def find_decisions(self, target: str) -> tuple[Decision, ...]:
        """Return the decisions on the last moves of a target, oldest first.

        If the target needs a move that was not made, the last item is the
        decision that gives the reason.
        """
        return self._decision_history.find_decisions(target)

    def _begin_round(
        self, planner_input: PlannerInput, now: float
    ) -> PlanContext:
        self._forecast.observe(
            planner_input.state.catalogue,
            planner_input.demand,
            tuple(planner_input.engines.values()),
            now,
            planner_input.wall_clock_s,
        )
        context = PlanContext(
            planner_input,
            self._forecast.predict(planner_input.wall_clock_s),
            MoveLimits(
                planner_input.free_load_slots, self._settings.loads_at_once
            ),
        )
        self._scale_out.observe(context, now)
        return context

    def _record_decisions(self, context: PlanContext, now: float) -> None:
        for move in context.moves:
            self._decision_history.record_move(move, now)
        missing = {
            model.name for model in find_under_replicated_models(context)
        }
        wants_copies = missing | self._scale_out.overloaded_since.keys()
        for model in context.models:
            if model.name not in wants_copies:
                self._decision_history.clear_blocked(model.name)
        self._decision_history.retain_targets(context.catalogue.entries.keys())
