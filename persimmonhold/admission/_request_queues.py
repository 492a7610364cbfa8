"""The queues of all requests that wait for dispatch.

Invariants: the queues of each service class together hold at most the
permitted requests and tokens. Empty queues are removed. The expiry heap has
at most twice as many items as requests wait, plus `_MAX_EXTRA_STALE_ITEMS`.
"""

import heapq
from collections.abc import Iterable, Iterator
from typing import Final, TypeAlias, final

from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._fair_queue import FairQueue
from persimmonhold.admission._pending_request import PendingRequest
from persimmonhold.admission._pending_state import PendingState
from persimmonhold.catalogue import ServiceClass

_QueueKey: TypeAlias = tuple[str, ServiceClass]
# Number of outdated items that the expiry heap may always contain. Without it,
# a short heap would be rebuilt at almost every change.
_MAX_EXTRA_STALE_ITEMS: Final = 64


@final
class RequestQueues:
    """Queues by target and class, with the expiry times of their requests.

    `request_counts` and `token_counts` are the waiting requests and their
    tokens by class.
    """

    __slots__ = (
        '_expiry_heap',
        '_settings',
        'by_target',
        'request_counts',
        'token_counts',
    )

    def __init__(self, settings: DispatcherSettings) -> None:
        """Create empty queues."""
        self.by_target: dict[str, dict[ServiceClass, FairQueue]] = {}
        self.request_counts = dict.fromkeys(ServiceClass, 0)
        self.token_counts = dict.fromkeys(ServiceClass, 0)
        self._expiry_heap: list[tuple[float, int, PendingRequest]] = []
        self._settings = settings

    def __len__(self) -> int:
        """Return the number of waiting requests of all classes."""
        return sum(self.request_counts.values())

    def has_capacity(self, pending: PendingRequest) -> bool:
        """Return whether the class has capacity for a further request."""
        service_class = pending.request.service_class
        tokens = self.token_counts[service_class] + pending.cost_tokens
        if tokens > self._settings.queue_tokens:
            return False
        return (
            self.request_counts[service_class] < self._settings.queue_requests
        )

    def evict_for(self, pending: PendingRequest) -> PendingRequest | None:
        """Evict a waiting request of the same class to make room; return it.

        It belongs to the caller that has most requests waiting for one
        target. Returns None and evicts nothing if that would not free enough
        tokens, or if that caller has at most one request more than the caller
        of `pending`.
        """
        service_class = pending.request.service_class
        queues = [
            by_class[service_class]
            for by_class in self.by_target.values()
            if service_class in by_class
        ]
        if not queues:
            return None
        victim = max(queues, key=_max_per_caller).find_eviction_victim()
        if (
            self._count_waiting_of_caller(victim)
            <= self._count_waiting_of_caller(pending) + 1
        ):
            return None
        freed = self.token_counts[service_class] - victim.cost_tokens
        if freed + pending.cost_tokens > self._settings.queue_tokens:
            return None
        self.remove_request(victim)
        return victim

    def add_request(self, pending: PendingRequest) -> None:
        """Add a request to its queue and schedule its expiry."""
        request = pending.request
        by_class = self.by_target.setdefault(request.target, {})
        queue = by_class.get(request.service_class)
        if queue is None:
            queue = FairQueue(
                self._settings.max_callers,
                self._settings.caller_buckets,
            )
            by_class[request.service_class] = queue
        queue.push(pending)
        self.request_counts[request.service_class] += 1
        self.token_counts[request.service_class] += pending.cost_tokens
        self.schedule_expiry(pending)

    def remove_request(self, pending: PendingRequest) -> None:
        """Remove a waiting request."""
        request = pending.request
        self.by_target[request.target][request.service_class].remove(pending)
        self._update_counts_after_removal(pending)

    def pop_head(self, queue: FairQueue) -> PendingRequest:
        """Remove and return the head of a queue."""
        pending = queue.pop()
        self._update_counts_after_removal(pending)
        return pending

    def schedule_expiry(self, pending: PendingRequest) -> None:
        """Schedule a waiting request to expire at its `expires_at`.

        Must be called whenever that time has changed; the items of earlier
        times are then ignored.
        """
        item = (pending.expires_at, pending.sequence, pending)
        heapq.heappush(self._expiry_heap, item)
        if len(self._expiry_heap) > 2 * len(self) + _MAX_EXTRA_STALE_ITEMS:
            self._expiry_heap = [
                item
                for item in self._expiry_heap
                if _is_current_expiry(item[0], item[2])
            ]
            heapq.heapify(self._expiry_heap)

    def next_expiry(self) -> float | None:
        """Return when the next request expires, or None if none waits."""
        while self._expiry_heap:
            expires_at, _, pending = self._expiry_heap[0]
            if _is_current_expiry(expires_at, pending):
                return expires_at
            heapq.heappop(self._expiry_heap)
        return None

    def pop_expired(self, now: float) -> Iterator[PendingRequest]:
        """Remove and yield the requests that have expired."""
        while True:
            expires_at = self.next_expiry()
            if expires_at is None or expires_at > now:
                return
            pending = heapq.heappop(self._expiry_heap)[-1]
            self.remove_request(pending)
            yield pending

    def find_queue(self, pending: PendingRequest) -> FairQueue | None:
        """Return the queue of a request's target and class, if it exists."""
        by_class = self.by_target.get(pending.request.target, {})
        return by_class.get(pending.request.service_class)

    def estimate_requests_ahead(self, pending: PendingRequest) -> int:
        """Estimate how many waiting requests are dispatched before a new one.

        Counts the requests of higher-ranked classes for its target. Of its
        own class, it assumes that callers are served in rounds of one request
        each.
        """
        by_class = self.by_target.get(pending.request.target, {})
        rank = pending.request.service_class.rank
        ahead = sum(
            queue.size
            for service_class, queue in by_class.items()
            if service_class.rank < rank
        )
        own = by_class.get(pending.request.service_class)
        if own is None:
            return ahead
        rounds = own.count_waiting(pending.request.caller) + 1
        return ahead + min(own.size, rounds * own.caller_count)

    def iter_queues(self, targets: Iterable[str] | None) -> Iterator[FairQueue]:
        """Yield the queues of the given targets, or of all if None."""
        names = self.by_target if targets is None else targets
        for name in tuple(names):
            yield from self.by_target.get(name, {}).values()

    def list_waiting(self) -> list[PendingRequest]:
        """Return all waiting requests."""
        return [
            pending for queue in self.iter_queues(None) for pending in queue
        ]

    def count_waiting(self, target: str) -> int:
        """Return the number of requests that wait for a target."""
        by_class = self.by_target.get(target, {})
        return sum(queue.size for queue in by_class.values())

    def _count_waiting_of_caller(self, pending: PendingRequest) -> int:
        queue = self.find_queue(pending)
        return queue.count_waiting(pending.request.caller) if queue else 0

    def _update_counts_after_removal(self, pending: PendingRequest) -> None:
        request = pending.request
        self.request_counts[request.service_class] -= 1
        self.token_counts[request.service_class] -= pending.cost_tokens
        by_class = self.by_target[request.target]
        if by_class[request.service_class].size:
            return
        by_class.pop(request.service_class)
        if not by_class:
            self.by_target.pop(request.target)


def _is_current_expiry(expires_at: float, pending: PendingRequest) -> bool:
    """Return whether an item of the expiry heap is not outdated."""
    waits = pending.state is PendingState.waiting
    return waits and pending.expires_at == expires_at


def _max_per_caller(queue: FairQueue) -> int:
    return queue.max_per_caller
