"""Chooses an upstream for a request.

Invariant: only upstreams with a serving copy of the target are chosen.
"""

import random
from typing import final

from persimmonhold.catalogue import UpstreamEntry
from persimmonhold.messages import ControlView, CopyState
from persimmonhold.routing._route import Route
from persimmonhold.routing._route_request import RouteRequest


@final
class Router:
    """Picks the less used of two random candidates."""

    __slots__ = ('_in_flight', '_random', '_view')

    def __init__(self, seed: int) -> None:
        """Create a router without a view."""
        self._view = ControlView()
        self._in_flight: dict[str, int] = {}
        self._random = random.Random(seed)

    def adopt_view(self, view: ControlView) -> None:
        """Route by a newer view from now on."""
        self._view = view

    def choose(self, request: RouteRequest, now: float) -> Route | None:
        """Return a route, or None where no upstream can serve."""
        candidates = self._candidates(request)
        if not candidates:
            return None
        sampled = self._random.sample(candidates, min(2, len(candidates)))
        chosen = min(sampled, key=self._outstanding)
        return Route(
            upstream=chosen.name,
            address=chosen.address,
            failure_domain=chosen.failure_domain,
            explanation=f'least used of {len(sampled)} sampled',
        )

    def attempt_started(self, upstream: str, now: float) -> None:
        """Count an attempt on an upstream."""
        self._in_flight[upstream] = self._in_flight.get(upstream, 0) + 1

    def attempt_ended(self, upstream: str, now: float, *, ok: bool) -> None:
        """Stop counting an attempt."""
        self._in_flight[upstream] = self._in_flight.get(upstream, 1) - 1

    def _outstanding(self, upstream: UpstreamEntry) -> int:
        return self._in_flight.get(upstream.name, 0)

    def _candidates(self, request: RouteRequest) -> list[UpstreamEntry]:
        catalogue = self._view.catalogue
        if request.is_service:
            found = list(catalogue.replicas(request.target))
        else:
            found = self._holders(request.target)
        return [
            upstream
            for upstream in found
            if upstream.name not in request.excluded
        ]

    def _holders(self, target: str) -> list[UpstreamEntry]:
        names = sorted({
            copy.upstream
            for copy in self._view.copies
            if copy.target == target and copy.state is CopyState.serving
        })
        entries = (self._view.catalogue.find(name) for name in names)
        return [entry for entry in entries if isinstance(entry, UpstreamEntry)]
