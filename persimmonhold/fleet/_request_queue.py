"""The queue of requests that wait for one model at an entry.

Requests that can still be answered in time are ordered by priority and due
time. Late requests follow, in the same order.
"""

import bisect
from typing import Final, Self, final

import msgspec

from persimmonhold.fleet._dispatch_request import DispatchRequest
from persimmonhold.fleet._prompt_keys import PromptKeys

_SMOOTHING: Final = 0.3  # weight of the latest interval between dispatches
# A copy with a full batch finishes a request about this often.
_INITIAL_INTERVAL_S: Final = 0.05
# At this age a learned interval has half the weight, the initial one the rest.
_HALF_WEIGHT_AGE_S: Final = 1.0


@final
class PendingRequest:
    """An unanswered request and the state of its attempts.

    `excluded_until` maps the upstream processes that the request avoids after
    failed attempts to the time at which that ends. `refused_by` are the
    upstreams that it is never sent to again: if one that has refused it ran it
    later, its refusal could arrive once more and be taken for the response.
    `build` is the build of the upstreams that may run it; empty for any.
    `hedged` is the request for which this one is a hedge, that is, a second
    attempt while the first one pauses at its upstream, or None.
    `prompt_keys` identify its prompt in caches, or are None if unknown.
    `upstream` is the upstream that the request was sent to, or empty while it
    is queued.
    """

    __slots__ = (
        'build',
        'excluded_until',
        'has_response_begun',
        'hedged',
        'is_late',
        'prompt_keys',
        'caller_waits_until',
        'queued_at',
        'refused_by',
        'request',
        'send_count',
        'sort_key',
        'upstream',
    )

    def __init__(self, request: DispatchRequest) -> None:
        """Create the state of a request before its first attempt."""
        self.request = request
        self.build = request.build
        self.excluded_until: dict[tuple[str, int], float] = {}
        self.refused_by: set[str] = set()
        self.has_response_begun = False
        self.hedged: Self | None = None
        self.caller_waits_until = request.caller_waits_until
        self.is_late = False
        self.prompt_keys = PromptKeys.from_profile(request.profile)
        self.sort_key = (0, (0, 0), 0.0, 0)
        self.queued_at = request.arrived_at
        self.send_count = 0
        self.upstream = ''

    @property
    def is_selective(self) -> bool:
        """Whether some upstreams that others may use are none for it."""
        return bool(self.excluded_until or self.build)

    def is_excluded(self, process: tuple[str, int], now: float) -> bool:
        """Tell whether an upstream process must not be tried now."""
        if process[0] in self.refused_by:
            return True
        return now < self.excluded_until.get(process, 0)

    def create_hedge(self, number: int, now: float) -> 'PendingRequest':
        """Return a hedge of this request, whose response pauses.

        Both avoid the same upstreams.
        """
        hedge = PendingRequest(
            msgspec.structs.replace(self.request, number=number)
        )
        hedge.hedged = self
        hedge.build = self.build
        hedge.excluded_until = self.excluded_until
        hedge.refused_by = self.refused_by
        hedge.has_response_begun = self.has_response_begun
        hedge.send_count = self.send_count
        hedge.extend_wait(now)
        return hedge

    def extend_wait(self, now: float) -> None:
        """Expect the caller to wait for the next event as for the first one.

        It has not disconnected so far, so it waits on from now.
        """
        request = self.request
        if self.has_response_begun:
            wait_s = request.caller_waits_until - request.arrived_at
            self.caller_waits_until = min(request.ends_at, now + wait_s)

    def update_sort_key(self, now: float, min_first_event_s: float) -> None:
        """Update whether the request is late, and its place in the queue.

        It is late if its first event would miss the due time even after
        `min_first_event_s`, the time at an idle upstream. An interrupted
        stream is never late, as its caller is still waiting. A hedge always
        is, as its first attempt may still go on.
        """
        request = self.request
        self.is_late = self.hedged is not None or (
            not self.has_response_begun
            and now + min_first_event_s > request.due_at
        )
        self.sort_key = (
            int(self.is_late),
            request.priority,
            request.due_at,
            request.number,
        )


@final
class RequestQueue:
    """A sorted queue that learns the interval between dispatches."""

    __slots__ = ('dispatch_interval_s', 'last_dispatch_at', 'pending')

    def __init__(self) -> None:
        """Create an empty queue."""
        self.pending: list[PendingRequest] = []
        self.dispatch_interval_s = _INITIAL_INTERVAL_S
        self.last_dispatch_at = float('-inf')

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.pending)

    def add_request(self, pending: PendingRequest) -> None:
        """Insert a request by its sort key."""
        bisect.insort(self.pending, pending, key=lambda one: one.sort_key)

    def remove_request(self, pending: PendingRequest) -> None:
        """Remove a request."""
        self.pending.remove(pending)

    def reorder(self, now: float, min_first_event_s: float) -> None:
        """Update which requests are late, and sort the queue again."""
        for pending in self.pending:
            pending.update_sort_key(now, min_first_event_s)
        self.pending.sort(key=lambda one: one.sort_key)

    def record_dispatch(self, now: float, *, others_wait: bool) -> None:
        """Record the time of a dispatch, and learn the interval between them.

        The interval since the last dispatch counts only if other requests
        still wait, and if it is shorter than a second.
        """
        elapsed_s = now - self.last_dispatch_at
        if others_wait and elapsed_s < _HALF_WEIGHT_AGE_S:
            self.dispatch_interval_s += _SMOOTHING * (
                elapsed_s - self.dispatch_interval_s
            )
        self.last_dispatch_at = now

    def count_ahead(self, pending: PendingRequest) -> int:
        """Count the waiting requests that go before another one."""
        return sum(one.sort_key < pending.sort_key for one in self.pending)

    def expected_wait_s(self, pending: PendingRequest, now: float) -> float:
        """Return the expected wait of a request in this queue.

        The learned interval decays towards the initial one, so that a long
        estimate, which causes refusals, does not outlast its cause.
        """
        age_s = max(0, now - self.last_dispatch_at)
        weight = _HALF_WEIGHT_AGE_S / (_HALF_WEIGHT_AGE_S + age_s)
        learned = (
            weight * self.dispatch_interval_s
            + (1 - weight) * _INITIAL_INTERVAL_S
        )
        return (self.count_ahead(pending) + 1) * learned
