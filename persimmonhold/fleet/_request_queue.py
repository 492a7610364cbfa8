"""The requests for one model that wait at an entry.

Requests that can still be answered in time go by the time at which they are
due; one that is late gives way to them and keeps its place among the late.
"""

import bisect
from typing import Final, final

from persimmonhold.fleet._forward_ticket import ForwardTicket

_SMOOTHING: Final = 0.3
_FIRST_INTERVAL_S: Final = 0.05  # a copy with a full batch ends one as often
_MEMORY_S: Final = 1.0  # an interval seen that long ago counts half


@final
class PendingRequest:
    """A request that is not answered yet, and what was tried for it."""

    __slots__ = (
        'excluded',
        'has_begun',
        'is_late',
        'order',
        'patience_until',
        'queued_at',
        'sends',
        'ticket',
        'upstream',
    )

    def __init__(self, ticket: ForwardTicket) -> None:
        """Create a request that was not sent yet."""
        self.ticket = ticket
        self.excluded: dict[tuple[str, int], float] = {}
        self.has_begun = False
        self.patience_until = ticket.patience_until
        self.is_late = False
        self.order = (0, 0, 0.0, 0)
        self.queued_at = ticket.arrived_at
        self.sends = 0
        self.upstream = ''

    def excludes(self, process: tuple[str, int], now: float) -> bool:
        """Tell whether a start of an upstream is not to be tried now."""
        return now < self.excluded.get(process, 0)

    def settle_order(self, now: float, least_s: float) -> None:
        """Set the place in the order; `least_s` is the best case.

        A stream that broke off is in time while its caller still waits.
        """
        ticket = self.ticket
        self.is_late = not self.has_begun and now + least_s > ticket.due_at
        self.order = (
            int(self.is_late),
            ticket.route.priority,
            ticket.due_at,
            ticket.number,
        )


@final
class RequestQueue:
    """Requests in their order, and how often one leaves for an upstream."""

    __slots__ = ('interval_s', 'left_at', 'pending')

    def __init__(self) -> None:
        """Create an empty line."""
        self.pending: list[PendingRequest] = []
        self.interval_s = _FIRST_INTERVAL_S
        self.left_at = float('-inf')

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self.pending)

    def add(self, pending: PendingRequest) -> None:
        """Put a request into its place."""
        bisect.insort(self.pending, pending, key=lambda one: one.order)

    def remove(self, pending: PendingRequest) -> None:
        """Take a request out."""
        self.pending.remove(pending)

    def reorder(self, now: float, least_s: float) -> None:
        """Let requests that became late give way to the others."""
        for pending in self.pending:
            pending.settle_order(now, least_s)
        self.pending.sort(key=lambda one: one.order)

    def note_dispatch(self, now: float, *, others_wait: bool) -> None:
        """Learn from a request that leaves while others wait."""
        elapsed_s = now - self.left_at
        if others_wait and elapsed_s < _MEMORY_S:
            self.interval_s += _SMOOTHING * (elapsed_s - self.interval_s)
        self.left_at = now

    def wait_s(self, pending: PendingRequest, now: float) -> float:
        """Return the expected wait of a request in this line.

        What was learned ages towards the first guess, so that an estimate
        that refuses requests cannot outlive its cause.
        """
        ahead = sum(one.order < pending.order for one in self.pending)
        age_s = max(0, now - self.left_at)
        weight = _MEMORY_S / (_MEMORY_S + age_s)
        learned = weight * self.interval_s + (1 - weight) * _FIRST_INTERVAL_S
        return (ahead + 1) * learned
