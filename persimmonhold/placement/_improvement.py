"""Adds copies where demand exceeds what the places of a model can bear.

A copy has to bring more attained work than its moves cost. The overload has
to last for a time, and evicted copies have to be resident for a time, that
both grow with the cost of a move.
"""

from typing import Final, final

from persimmonhold.catalogue import ModelEntry
from persimmonhold.placement._load_balance import TARGET_LOAD
from persimmonhold.placement._move_maker import MoveMaker
from persimmonhold.placement._place import Place
from persimmonhold.placement._plan_round import PlanRound
from persimmonhold.placement._room import Room
from persimmonhold.settings import PlacementSettings

_GAIN_PER_MOVE: Final = 0.05
_PATIENCE_S: Final = 5.0
_RESIDENCE_S: Final = 60.0
_MAX_EXAMINED: Final = 16
_MAX_GROWTH_FRACTION: Final = 0.1
_MIN_OVERLOAD: Final = 0.001


@final
class Improvement:
    """Remembers how long models are overloaded and copies resident."""

    __slots__ = ('_resident_since', '_settings', 'overloaded_since')

    def __init__(self, settings: PlacementSettings) -> None:
        """Create the memory of a leadership."""
        self.overloaded_since: dict[str, float] = {}
        self._resident_since: dict[tuple[str, Place], float] = {}
        self._settings = settings

    def observe(self, planned: PlanRound, now: float) -> None:
        """Note which models are overloaded and which copies are there."""
        self.overloaded_since = {
            model.name: self.overloaded_since.get(model.name, now)
            for model in planned.models
            if planned.balance.overload(model.name) > _MIN_OVERLOAD
        }
        known = self._resident_since
        self._resident_since = {
            (model, place): known.get((model, place), now)
            for place, models in planned.layout.models_at.items()
            for model in models
        }

    def plan(self, maker: MoveMaker, now: float) -> None:
        """Plan copies for the most overloaded models."""
        planned = maker.planned
        wanting = [
            model
            for model in planned.models
            if model.name in self.overloaded_since
        ]
        wanting.sort(
            key=lambda model: -planned.balance.overload(model.name),
        )
        for model in wanting[:_MAX_EXAMINED]:
            hindrance = self._hindrance(planned, model, now)
            if hindrance:
                maker.block(model.name, hindrance)
            else:
                self._plan_model(maker, model, now)

    def _plan_model(
        self,
        maker: MoveMaker,
        model: ModelEntry,
        now: float,
    ) -> None:
        finder = maker.finder(self._recent(now))
        room = maker.find_room(model, finder, spread=False)
        if room is None:
            maker.block(model.name, 'no accelerator can make room')
            return
        overload = maker.planned.balance.overload(model.name)
        shortfall = self._shortfall(maker.planned, overload, room)
        if shortfall:
            maker.block(model.name, shortfall)
            return
        reason = f'work of {overload:.2f} accelerators exceeds its places'
        maker.make(model, room, reason)

    def _recent(self, now: float) -> set[tuple[str, Place]]:
        residence_s = _RESIDENCE_S * self._settings.move_cost
        return {
            copy
            for copy, since in self._resident_since.items()
            if now < since + residence_s
        }

    def _hindrance(
        self,
        planned: PlanRound,
        model: ModelEntry,
        now: float,
    ) -> str:
        holders = planned.layout.holders.get(model.name, set())
        serving = planned.layout.serving.get(model.name, set())
        most = model.limits.max_copies
        if most and len(holders) >= most:
            return f'has as many copies as agreed ({most})'
        growing = len(holders) - len(serving)
        if growing >= max(1, int(len(holders) * _MAX_GROWTH_FRACTION)):
            return 'another copy is on its way'
        if planned.limits.loads <= 0 and planned.limits.swaps <= 0:
            return 'as many moves are under way as allowed'
        patience_s = _PATIENCE_S * self._settings.move_cost
        if now < self.overloaded_since[model.name] + patience_s:
            return f'overloaded for less than {patience_s:.0f} s'
        return ''

    def _shortfall(
        self,
        planned: PlanRound,
        overload: float,
        room: Room,
    ) -> str:
        slack = TARGET_LOAD - planned.balance.load(room.place)
        gain = min(overload, slack) - room.loss
        worth = gain * self._settings.attainment_weight
        moves = 1 + len(room.evicted)
        cost = moves * self._settings.move_cost * _GAIN_PER_MOVE
        if worth > cost:
            return ''
        return f'would gain {worth:.2f} at a cost of {cost:.2f}'
