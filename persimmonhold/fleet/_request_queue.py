"""The queue of requests that wait for one model at an entry.

`WaitingOrder` ranks the requests of all queues of a service.
"""

import bisect
from typing import Final, NamedTuple, Self, final

import msgspec

from persimmonhold.fleet._dispatch_request import DispatchRequest
from persimmonhold.fleet._prompt_keys import PromptKeys
from persimmonhold.fleet._waiting_class import WaitingClass

_SMOOTHING: Final = 0.3  # weight of the latest interval between dispatches
# A copy with a full batch finishes a request about this often.
_INITIAL_INTERVAL_S: Final = 0.05
# At this age a learned interval has half the weight, the initial one the rest.
_HALF_WEIGHT_AGE_S: Final = 1.0
# A due time is near when less than this share of the time until it is left, or
# less than this time; work that tolerates latency has targets of 1.2 s or more.
_NEAR_SHARE: Final = 0.85
_NEAR_S: Final = 0.8
_NOT_QUEUED: Final = -1  # rank of a request that is in no queue


@final
class OwnWaiting(NamedTuple):
    """How many requests wait for a model at this entry, and their priority."""

    total: int
    classes: tuple[WaitingClass, ...] = ()


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
    is queued. `rank` is its place among the waiting requests of its service
    when they were last ordered, or negative if it is not queued, and
    `fair_start` its virtual start time then.
    """

    __slots__ = (
        'build',
        'excluded_until',
        'fair_start',
        'has_response_begun',
        'hedged',
        'is_late',
        'prompt_keys',
        'caller_waits_until',
        'queued_at',
        'rank',
        'refused_by',
        'request',
        'send_count',
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
        self.rank = _NOT_QUEUED
        self.fair_start = 0.0
        self.queued_at = request.arrived_at
        self.send_count = 0
        self.upstream = ''

    @property
    def is_selective(self) -> bool:
        """Whether some upstreams that others may use are none for it."""
        return bool(self.excluded_until or self.build)

    def is_due_near(self, now: float) -> bool:
        """Tell whether little of the time until the due time is left."""
        request = self.request
        left_s = request.due_at - now
        near_s = _NEAR_SHARE * (request.due_at - request.arrived_at)
        return left_s < max(_NEAR_S, near_s)

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

    def update_lateness(self, now: float, min_first_event_s: float) -> None:
        """Update whether the request is late.

        It is late if its first event would miss the due time even after
        `min_first_event_s`, the time at an idle upstream. An interrupted
        stream is never late, as its caller is still waiting. A hedge always
        is, as its first attempt may still go on.
        """
        self.is_late = self.hedged is not None or (
            not self.has_response_begun
            and now + min_first_event_s > self.request.due_at
        )


@final
class RequestQueue:
    """A sorted queue that learns the interval between dispatches.

    `classes` has the priorities of the requests that waited when it was last
    sorted.
    """

    __slots__ = (
        'classes',
        'dispatch_interval_s',
        'last_dispatch_at',
        'pending',
    )

    def __init__(self) -> None:
        """Create an empty queue."""
        self.pending: list[PendingRequest] = []
        self.classes: tuple[WaitingClass, ...] = ()
        self.dispatch_interval_s = _INITIAL_INTERVAL_S
        self.last_dispatch_at = float('-inf')

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.pending)

    def add_request(self, pending: PendingRequest) -> None:
        """Add a request behind all others, until they are ordered again."""
        last = self.pending[-1].rank if self.pending else 0
        pending.rank = last + 1
        self.pending.append(pending)

    def remove_request(self, pending: PendingRequest) -> None:
        """Remove a request, if it is queued."""
        if pending.rank == _NOT_QUEUED:
            return
        self.pending.pop(self.count_ahead(pending))
        pending.rank = _NOT_QUEUED

    def sort(self) -> None:
        """Sort the queue by rank."""
        self.pending.sort(key=_rank_of)
        self.classes = self.list_classes()

    def describe_waiting(self) -> OwnWaiting:
        """Return what waits here, at least the request to be sent."""
        return OwnWaiting(max(1, len(self.pending)), self.classes)

    def list_classes(self) -> tuple[WaitingClass, ...]:
        """Count the waiting requests by priority, without hedges."""
        counts: dict[tuple[int, int], list[int]] = {}
        for one in self.pending:
            if one.hedged is None:
                count = counts.setdefault(one.request.priority, [0, 0])
                count[0] += 1
                count[1] += one.is_late
        return tuple(
            WaitingClass(*priority, *count)
            for priority, count in counts.items()
        )

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
        """Count the waiting requests that go before another one.

        All that are as urgent do if that one is not queued.
        """
        if pending.rank != _NOT_QUEUED:
            return bisect.bisect_left(self.pending, pending.rank, key=_rank_of)
        priority = pending.request.priority
        return sum(one.request.priority <= priority for one in self.pending)

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


def _rank_of(pending: PendingRequest) -> int:
    return pending.rank
