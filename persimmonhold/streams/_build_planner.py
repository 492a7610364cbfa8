"""Plans which builds the control log records for each service."""

from collections.abc import Iterable, Mapping
from typing import final

from persimmonhold.streams._build_history import BuildHistory
from persimmonhold.streams._served_builds import ServedBuilds
from persimmonhold.streams._stream_registry import STREAM_LIFE_S, StreamOrigin


@final
class BuildPlanner:
    """Plans the recorded builds in one term of the VM that leads control.

    A build is removed only by a leader that has observed by itself, for as long
    as streams last, that the build does not serve. `routed_before` are the
    services that had routes when the term began, and `noticed_at` is since when
    this leader knows of a recorded build.
    """

    __slots__ = ('history', 'noticed_at', 'routed_before')

    def __init__(
        self, history: BuildHistory, routed_before: Iterable[str]
    ) -> None:
        """Create the planner of a term."""
        self.history = history
        self.routed_before = frozenset(routed_before)
        self.noticed_at: dict[StreamOrigin, float] = {}

    def plan(
        self,
        recorded: Mapping[str, ServedBuilds],
        routed: Iterable[str],
        now: float,
    ) -> dict[str, ServedBuilds]:
        """Return the builds by service that should be recorded now.

        `routed` are the services that have routes.
        """
        kept = self._list_kept(recorded, now)
        served = kept.union(self.history.list_served(now))
        services = {*routed, *(one.service for one in served)}
        return {
            service: ServedBuilds(
                service=service,
                builds=tuple(
                    sorted(
                        one.build for one in served if one.service == service
                    )
                ),
                is_complete=self._is_complete(
                    service, recorded.get(service), now
                ),
            )
            for service in sorted(services)
        }

    def _list_kept(
        self, recorded: Mapping[str, ServedBuilds], now: float
    ) -> set[StreamOrigin]:
        """Return the recorded builds that may have served of late."""
        self.noticed_at = {
            origin: self.noticed_at.get(origin, now)
            for one in recorded.values()
            for origin in one.origins
        }
        is_observed = self.history.covers_streams(now)
        return {
            origin
            for origin, at in self.noticed_at.items()
            if not is_observed or now - at <= STREAM_LIFE_S
        }

    def _is_complete(
        self, service: str, recorded: ServedBuilds | None, now: float
    ) -> bool:
        """Tell whether no stream of a service began at another build.

        No stream began at all before the service had a route.
        """
        if recorded is None and service not in self.routed_before:
            return True
        if recorded is not None and recorded.is_complete:
            return True
        return self.history.is_covered(now)
