"""One attempt at an upstream, as the router remembers it."""

from typing import final

from persimmonhold.routing._route import Route
from persimmonhold.routing._route_request import RouteRequest
from persimmonhold.routing._subset import Subset
from persimmonhold.routing._upstream_state import UpstreamState


@final
class Attempt:
    """A request that was sent along a route; times in seconds.

    `state` and `subset` are those that count the attempt; they outlive the
    view that the route was chosen by. `first_token_at` is None until the
    first token was seen.
    """

    __slots__ = (
        'first_token_at',
        'request',
        'route',
        'started_at',
        'state',
        'subset',
    )

    def __init__(
        self,
        route: Route,
        request: RouteRequest,
        state: UpstreamState | None,
        subset: Subset | None,
        now: float,
    ) -> None:
        """Create an attempt that starts now."""
        self.route = route
        self.request = request
        self.state = state
        self.subset = subset
        self.started_at = now
        self.first_token_at: float | None = None

    @property
    def prefill_tokens(self) -> int:
        """The part of the prompt that the upstream has to read."""
        return self.request.prompt_tokens - self.route.hit_tokens
