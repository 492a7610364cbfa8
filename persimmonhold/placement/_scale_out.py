"""Adds copies of models whose demand exceeds the capacity of their copies.

A new copy must gain more attained work than its moves cost. A model must have
been overloaded, and a copy must have been resident before it may be evicted,
for minimum times that both grow with the cost of a move.
"""

from typing import Final, final

from persimmonhold.catalogue import ModelEntry
from persimmonhold.placement._candidate_place import CandidatePlace
from persimmonhold.placement._load_balance import TARGET_LOAD
from persimmonhold.placement._move_planner import MovePlanner
from persimmonhold.placement._place import Place
from persimmonhold.placement._plan_context import PlanContext
from persimmonhold.settings import PlacementSettings

# A new copy is made only if its weighted gain, in busy accelerators and less
# the work lost through evictions, exceeds this figure times the number of
# moves (one load and any evictions) and times the `move_cost` setting.
_MIN_GAIN_PER_MOVE: Final = 0.05

# Minimum time for which a model must have been overloaded before it gets a
# copy, and for which a copy must have been resident before it may be evicted;
# both are multiplied by the `move_cost` setting.
_MIN_OVERLOAD_S: Final = 5.0
_MIN_RESIDENCE_S: Final = 60.0

# Only the most overloaded models get a new copy in a round.
_MAX_MODELS_PER_ROUND: Final = 16

# A model gets no new copy while at least this fraction of its copies, and at
# least two of them, are still loading.
_MAX_LOADING_FRACTION: Final = 0.1

# Smaller amounts of excess work, in busy accelerators, are not an overload.
_MIN_OVERLOAD: Final = 0.001


@final
class ScaleOut:
    """Plans copies for overloaded models.

    Records since when each model has been overloaded, and when each recent
    copy was first seen.
    """

    __slots__ = (
        '_arrival_times',
        '_places_by_model',
        '_settings',
        'overloaded_since',
    )

    def __init__(self, settings: PlacementSettings) -> None:
        """Create a scale-out planner without observations."""
        self.overloaded_since: dict[str, float] = {}
        self._arrival_times: dict[tuple[str, Place], float] = {}
        self._places_by_model: dict[str, frozenset[Place]] = {}
        self._settings = settings

    def observe(self, context: PlanContext, now: float) -> None:
        """Record which models are overloaded and which copies are new."""
        self.overloaded_since = {
            model.name: self.overloaded_since.get(model.name, now)
            for model in context.models
            if context.balance.overload_of(model.name) > _MIN_OVERLOAD
        }
        self._record_arrivals(context, now)

    def plan_copies(self, move_planner: MovePlanner, now: float) -> None:
        """Plan one more copy of each of the most overloaded models.

        If a model gets no copy, the reason is recorded.
        """
        context = move_planner.context
        overloaded = [
            model
            for model in context.models
            if model.name in self.overloaded_since
        ]
        overloaded.sort(
            key=lambda model: -context.balance.overload_of(model.name),
        )
        for model in overloaded[:_MAX_MODELS_PER_ROUND]:
            blocked_reason = self._find_blocked_reason(context, model, now)
            if blocked_reason:
                move_planner.record_blocked(model.name, blocked_reason)
            else:
                self._plan_copy(move_planner, model)

    def _plan_copy(
        self,
        move_planner: MovePlanner,
        model: ModelEntry,
    ) -> None:
        finder = move_planner.create_finder(self._arrival_times)
        candidate = move_planner.find_place(model, finder, spread=False)
        if candidate is None:
            move_planner.record_blocked(
                model.name, 'no accelerator can free enough memory'
            )
            return
        overload = move_planner.context.balance.overload_of(model.name)
        insufficient_gain = self._explain_insufficient_gain(
            move_planner.context, overload, candidate
        )
        if insufficient_gain:
            move_planner.record_blocked(model.name, insufficient_gain)
            return
        reason = (
            'expected work exceeds the capacity of its copies by '
            f'{overload:.2f} accelerators'
        )
        move_planner.plan_load(model, candidate, reason)

    def _record_arrivals(self, context: PlanContext, now: float) -> None:
        """Record when new copies are first seen.

        Copies past the minimum residence time are removed from the record.
        """
        known = self._places_by_model
        holders = context.layout.holders
        self._places_by_model = {
            model.name: frozenset(holders.get(model.name, ()))
            for model in context.models
        }
        residence_s = _MIN_RESIDENCE_S * self._settings.move_cost
        self._arrival_times = {
            copy: at
            for copy, at in self._arrival_times.items()
            if now < at + residence_s
        }
        for name, held in self._places_by_model.items():
            for place in held - known.get(name, held):
                self._arrival_times[name, place] = now

    def _find_blocked_reason(
        self,
        context: PlanContext,
        model: ModelEntry,
        now: float,
    ) -> str:
        holders = context.layout.holders.get(model.name, set())
        serving = context.layout.serving.get(model.name, set())
        max_copies = model.limits.max_copies
        if max_copies and len(holders) >= max_copies:
            return f'has the maximum number of copies ({max_copies})'
        loading = len(holders) - len(serving)
        if loading >= max(2, int(len(holders) * _MAX_LOADING_FRACTION)):
            return 'other copies are still loading'
        if (
            context.limits.remaining_loads <= 0
            and context.limits.remaining_swaps <= 0
        ):
            return 'no free slot for a load or a swap'
        min_overload_s = _MIN_OVERLOAD_S * self._settings.move_cost
        if now < self.overloaded_since[model.name] + min_overload_s:
            return f'overloaded for less than {min_overload_s:.0f} s'
        return ''

    def _explain_insufficient_gain(
        self,
        context: PlanContext,
        overload: float,
        candidate: CandidatePlace,
    ) -> str:
        slack = TARGET_LOAD - context.balance.load_at(candidate.place)
        gain = min(overload, slack) - candidate.lost_work
        weighted_gain = gain * self._settings.attainment_weight
        moves = 1 + len(candidate.evicted)
        cost = moves * self._settings.move_cost * _MIN_GAIN_PER_MOVE
        if weighted_gain > cost:
            return ''
        return (
            f'gain of {weighted_gain:.2f} does not exceed '
            f'the cost of {cost:.2f}'
        )
