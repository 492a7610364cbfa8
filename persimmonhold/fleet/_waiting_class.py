"""How many requests of one priority wait for a model."""

from typing import TypeAlias, final

import msgspec

_Priority: TypeAlias = tuple[int, int]


@final
class WaitingClass(msgspec.Struct, frozen=True, array_like=True):
    """The waiting requests of one priority, and how many of them are late."""

    workspace_priority: int
    route_priority: int
    count: int
    late: int = 0

    @property
    def priority(self) -> _Priority:
        """The priority of the workspace, then that of the route."""
        return self.workspace_priority, self.route_priority
