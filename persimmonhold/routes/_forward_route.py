"""One route: which requests it takes and how they are treated."""

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
    """Requests of a host whose path begins with a prefix.

    Times in milliseconds. `timeout_ms` bounds the whole answer, `target_ms`
    is when a plain answer or a first event is due, `max_gap_ms` the longest
    pause between events. A lower `priority` is more urgent. A request is
    sent to `max_attempts` upstreams at most. `is_sticky` says that prompts
    share parts, so that caches matter.
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

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.stream:
            return self.is_resumable
        return self.kind is RouteKind.idempotent
