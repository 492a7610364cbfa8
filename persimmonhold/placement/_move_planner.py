"""Plans loads and the evictions that they need, and records the reasons.

Invariant: a reason is recorded for every target that needs a move and does
not get it.
"""

from collections.abc import Callable, Collection
from typing import TypeAlias, final

from persimmonhold.catalogue import ModelEntry
from persimmonhold.placement._candidate_place import CandidatePlace
from persimmonhold.placement._decision_history import DecisionHistory
from persimmonhold.placement._pending_swaps import PendingSwaps
from persimmonhold.placement._place import Place
from persimmonhold.placement._place_finder import PlaceFinder
from persimmonhold.placement._plan_context import PlanContext

CandidateCheck: TypeAlias = Callable[[ModelEntry, CandidatePlace], str]


@final
class MovePlanner:
    """Plans loads and swaps of models in one planning round."""

    __slots__ = ('_decision_history', '_now', '_pending_swaps', 'context')

    def __init__(
        self,
        context: PlanContext,
        pending_swaps: PendingSwaps,
        decision_history: DecisionHistory,
        now: float,
    ) -> None:
        """Create a move planner for a round that is planned at `now`."""
        self.context = context
        self._pending_swaps = pending_swaps
        self._decision_history = decision_history
        self._now = now

    def create_finder(
        self, protected: Collection[tuple[str, Place]]
    ) -> PlaceFinder:
        """Return a finder that evicts none of the protected copies.

        `protected` holds these as pairs of model name and place.
        """
        return PlaceFinder(self.context, protected)

    def find_place(
        self,
        model: ModelEntry,
        finder: PlaceFinder,
        *,
        spread: bool,
    ) -> CandidatePlace | None:
        """Return a place with free memory, or else one that needs evictions.

        Returns None if there is no such place, or if the round may plan no
        more loads and swaps. With `spread`, free places in failure domains
        with fewer copies come first.
        """
        if self.context.limits.remaining_loads > 0:
            candidate = finder.find_free_place(model, spread=spread)
            if candidate is not None:
                return candidate
        if self.context.limits.remaining_swaps > 0:
            return finder.find_place_by_eviction(model)
        return None

    def plan_load(
        self, model: ModelEntry, candidate: CandidatePlace, reason: str
    ) -> None:
        """Plan a load of a model, or a swap if copies are evicted for it."""
        load = self.context.create_load_move(model, candidate.place, reason)
        if candidate.evicted:
            self._pending_swaps.begin_swap(
                self.context, load, candidate, self._now
            )
        else:
            self.context.add_load(load)

    def record_blocked(self, target: str, reason: str) -> None:
        """Record why a target does not get a move."""
        self._decision_history.record_blocked(target, reason, self._now)
