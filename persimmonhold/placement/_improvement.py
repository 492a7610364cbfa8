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

    __slots__ = ('_arrived_at', '_holders', '_settings', 'overloaded_since')

    def __init__(self, settings: PlacementSettings) -> None:
        """Create the memory of a leadership."""
        self.overloaded_since: dict[str, float] = {}
        self._arrived_at: dict[tuple[str, Place], float] = {}
        self._holders: dict[str, frozenset[Place]] = {}
        self._settings = settings

    def observe(self, planned: PlanRound, now: float) -> None:
        """Note which models are overloaded and which copies are there."""
        self.overloaded_since = {
            model.name: self.overloaded_since.get(model.name, now)
            for model in planned.models
            if planned.balance.overload(model.name) > _MIN_OVERLOAD
        }
        self._note_arrivals(planned, now)

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
                self._plan_model(maker, model)

    def _plan_model(
        self,
        maker: MoveMaker,
        model: ModelEntry,
    ) -> None:
        finder = maker.finder(self._arrived_at)
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

    def _note_arrivals(self, planned: PlanRound, now: float) -> None:
        """Remember copies until they have been resident for long enough."""
        known = self._holders
        holders = planned.layout.holders
        self._holders = {
            model.name: frozenset(holders.get(model.name, ()))
            for model in planned.models
        }
        residence_s = _RESIDENCE_S * self._settings.move_cost
        self._arrived_at = {
            copy: at
            for copy, at in self._arrived_at.items()
            if now < at + residence_s
        }
        for name, held in self._holders.items():
            for place in held - known.get(name, held):
                self._arrived_at[name, place] = now

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
        if growing >= max(2, int(len(holders) * _MAX_GROWTH_FRACTION)):
            return 'other copies are on their way'
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
