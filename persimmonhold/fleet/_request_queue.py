"""The requests for one model that wait at an entry.

Requests that can still be answered in time go by the time at which they are
due; one that is late gives way to them and keeps its place among the late.
"""

import bisect
from typing import Final, final

from persimmonhold.fleet._dispatch_request import DispatchRequest

_SMOOTHING: Final = 0.3
_FIRST_INTERVAL_S: Final = 0.05  # a copy with a full batch ends one as often
_HALF_WEIGHT_AGE_S: Final = 1.0  # an interval seen that long ago counts half


@final
class PendingRequest:
    """A request that is not answered yet, and what was tried for it."""

    __slots__ = (
        'excluded_until',
        'has_begun',
        'is_late',
        'sort_key',
        'patience_until',
        'queued_at',
        'send_count',
        'request',
        'upstream',
    )

    def __init__(self, request: DispatchRequest) -> None:
        """Create a request that was not sent yet."""
        self.request = request
        self.excluded_until: dict[tuple[str, int], float] = {}
        self.has_begun = False
        self.patience_until = request.patience_until
        self.is_late = False
        self.sort_key = (0, 0, 0.0, 0)
        self.queued_at = request.arrived_at
        self.send_count = 0
        self.upstream = ''

    def is_excluded(self, process: tuple[str, int], now: float) -> bool:
        """Tell whether a start of an upstream is not to be tried now."""
        return now < self.excluded_until.get(process, 0)

    def update_sort_key(self, now: float, min_first_event_s: float) -> None:
        """Set the place in the order; `least_s` is the best case.

        A stream that broke off is in time while its caller still waits.
        """
        request = self.request
        self.is_late = (
            not self.has_begun and now + min_first_event_s > request.due_at
        )
        self.sort_key = (
            int(self.is_late),
            request.route.priority,
            request.due_at,
            request.number,
        )


@final
class RequestQueue:
    """Requests in their order, and how often one leaves for an upstream."""

    __slots__ = ('dispatch_interval_s', 'last_dispatch_at', 'pending')

    def __init__(self) -> None:
        """Create an empty line."""
        self.pending: list[PendingRequest] = []
        self.dispatch_interval_s = _FIRST_INTERVAL_S
        self.last_dispatch_at = float('-inf')

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self.pending)

    def add(self, pending: PendingRequest) -> None:
        """Put a request into its place."""
        bisect.insort(self.pending, pending, key=lambda one: one.sort_key)

    def remove(self, pending: PendingRequest) -> None:
        """Take a request out."""
        self.pending.remove(pending)

    def reorder(self, now: float, min_first_event_s: float) -> None:
        """Let requests that became late give way to the others."""
        for pending in self.pending:
            pending.update_sort_key(now, min_first_event_s)
        self.pending.sort(key=lambda one: one.sort_key)

    def record_dispatch(self, now: float, *, others_wait: bool) -> None:
        """Learn from a request that leaves while others wait."""
        elapsed_s = now - self.last_dispatch_at
        if others_wait and elapsed_s < _HALF_WEIGHT_AGE_S:
            self.dispatch_interval_s += _SMOOTHING * (
                elapsed_s - self.dispatch_interval_s
            )
        self.last_dispatch_at = now

    def expected_wait_s(self, pending: PendingRequest, now: float) -> float:
        """Return the expected wait of a request in this line.

        What was learned ages towards the first guess, so that an estimate
        that refuses requests cannot outlive its cause.
        """
        ahead = sum(one.sort_key < pending.sort_key for one in self.pending)
        age_s = max(0, now - self.last_dispatch_at)
        weight = _HALF_WEIGHT_AGE_S / (_HALF_WEIGHT_AGE_S + age_s)
        learned = (
            weight * self.dispatch_interval_s + (1 - weight) * _FIRST_INTERVAL_S
        )
        return (ahead + 1) * learned
