"""Converts the priorities of workspaces and routes to levels of urgency."""

import bisect
from collections.abc import Iterable
from typing import Final, final

_MOST_URGENT: Final = 0
_LEAST_URGENT: Final = 9
_LEVELS: Final = _LEAST_URGENT - _MOST_URGENT + 1


@final
class UrgencyScale:
    """Levels from 0 to 9 in the order of (workspace priority, route priority).

    While all workspaces have the same priority, the level is the priority of
    the route. Otherwise it is the rank among all pairs; ranks share a level
    only if there are more pairs than levels.
    """

    __slots__ = ('_route_priorities', '_workspace_priorities')

    def __init__(
        self,
        workspace_priorities: Iterable[int],
        route_priorities: Iterable[int],
    ) -> None:
        """Create the scale of the priorities in one document."""
        self._workspace_priorities = sorted(set(workspace_priorities))
        self._route_priorities = sorted(set(route_priorities))

    def find_level(self, workspace_priority: int, route_priority: int) -> int:
        """Return the level of a request; 0 is the most urgent."""
        if len(self._workspace_priorities) < 2:
            return min(_LEAST_URGENT, max(_MOST_URGENT, route_priority))
        route_count = len(self._route_priorities)
        pair_count = len(self._workspace_priorities) * route_count
        rank = bisect.bisect_left(
            self._workspace_priorities, workspace_priority
        ) * route_count + bisect.bisect_left(
            self._route_priorities, route_priority
        )
        if pair_count > _LEVELS:
            rank = rank * _LEVELS // pair_count
        return min(_LEAST_URGENT, rank)
