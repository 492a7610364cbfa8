"""One attempt at an upstream, as the router records it."""

from typing import final

from persimmonhold.routing._route import Route
from persimmonhold.routing._route_request import RouteRequest
from persimmonhold.routing._subset import EndpointSubset
from persimmonhold.routing._upstream_state import UpstreamState


@final
class Attempt:
    """One attempt to run a request at the upstream of its route.

    Times are in seconds of the entry's clock. `upstream_state` and `subset`
    are the objects that count the attempt; they are kept here because a newer
    view may replace them in the router. `first_token_at` is None until the
    first token has arrived.
    """

    __slots__ = (
        'first_token_at',
        'request',
        'route',
        'started_at',
        'upstream_state',
        'subset',
    )

    def __init__(
        self,
        route: Route,
        request: RouteRequest,
        upstream_state: UpstreamState | None,
        subset: EndpointSubset | None,
        now: float,
    ) -> None:
        """Create an attempt that starts now."""
        self.route = route
        self.request = request
        self.upstream_state = upstream_state
        self.subset = subset
        self.started_at = now
        self.first_token_at: float | None = None

    @property
    def prefill_tokens(self) -> int:
        """The prompt tokens that are not expected to be cached upstream."""
        return self.request.prompt_tokens - self.route.cached_tokens
