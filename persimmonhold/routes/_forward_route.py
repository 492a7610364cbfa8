"""A route: which requests it matches and how they are handled."""

from typing import final

import msgspec

from persimmonhold.routes._route_kind import RouteKind
from persimmonhold.routes._route_target import RouteTarget


@final
class ForwardRoute(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Matches the requests to a host whose path begins with a prefix.

    `timeout_ms` bounds the complete response, `target_ms` the time to a plain
    response or a first event, and `max_gap_ms` the time between events. A
    lower `priority` is more urgent. A request is sent to `max_attempts`
    upstreams at most. `is_sticky` tells that prompts share prefixes, so that
    caches matter, and `is_resumable` that another upstream can continue a
    broken stream. Requests to a route that `is_public` need no key; the field
    is left out unless it is set, as earlier builds refuse unknown fields.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    targets: tuple[RouteTarget, ...]
    target_ms: float = 1000.0
    priority: int = 0
    max_attempts: int = 1
    is_sticky: bool = False
    is_resumable: bool = False
    max_gap_ms: float = 0.0
    is_public: bool | msgspec.UnsetType = msgspec.UNSET

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may be executed more than once."""
        if self.kind is RouteKind.stream:
            return self.is_resumable
        return self.kind is RouteKind.idempotent
