"""All requests that wait for dispatch.

Invariants: each class holds no more than the permitted requests and tokens;
an empty queue is forgotten; the expiry heap has at most twice as many items
as requests wait, and a few more.
"""

import heapq
from collections.abc import Iterable, Iterator
from typing import Final, TypeAlias, final

from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._fair_queue import FairQueue
from persimmonhold.admission._pending import Pending
from persimmonhold.admission._pending_state import PendingState
from persimmonhold.catalogue import ServiceClass

_QueueKey: TypeAlias = tuple[str, ServiceClass]
_STALE_ALLOWANCE: Final = 64


@final
class WaitingRoom:
    """Queues by target and class, and when their requests expire."""

    __slots__ = ('_expiries', '_settings', 'queues', 'requests', 'tokens')

    def __init__(self, settings: DispatcherSettings) -> None:
        """Create an empty room."""
        self.queues: dict[str, dict[ServiceClass, FairQueue]] = {}
        self.requests = dict.fromkeys(ServiceClass, 0)
        self.tokens = dict.fromkeys(ServiceClass, 0)
        self._expiries: list[tuple[float, int, Pending]] = []
        self._settings = settings

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(self.requests.values())

    def has_room(self, pending: Pending) -> bool:
        """Tell whether the class has room for one more request."""
        service_class = pending.request.service_class
        tokens = self.tokens[service_class] + pending.cost
        if tokens > self._settings.queue_tokens:
            return False
        return self.requests[service_class] < self._settings.queue_requests

    def evict_for(self, pending: Pending) -> Pending | None:
        """Remove and return a request of a caller that has many more.

        Returns None where that would not make room, or would take from a
        caller that has no more than the caller of `pending`.
        """
        service_class = pending.request.service_class
        queues = [
            by_class[service_class]
            for by_class in self.queues.values()
            if service_class in by_class
        ]
        if not queues:
            return None
        victim = max(queues, key=_most_of_one_caller).last_of_busiest()
        if self._waiting_of(victim) <= self._waiting_of(pending) + 1:
            return None
        freed = self.tokens[service_class] - victim.cost
        if freed + pending.cost > self._settings.queue_tokens:
            return None
        self.remove(victim)
        return victim

    def add(self, pending: Pending) -> None:
        """Let a request wait until it expires."""
        request = pending.request
        by_class = self.queues.setdefault(request.target, {})
        queue = by_class.get(request.service_class)
        if queue is None:
            queue = FairQueue(
                self._settings.max_callers,
                self._settings.caller_buckets,
            )
            by_class[request.service_class] = queue
        queue.push(pending)
        self.requests[request.service_class] += 1
        self.tokens[request.service_class] += pending.cost
        self.watch(pending)

    def remove(self, pending: Pending) -> None:
        """Remove a waiting request."""
        request = pending.request
        self.queues[request.target][request.service_class].remove(pending)
        self._forget(pending)

    def pop(self, queue: FairQueue) -> Pending:
        """Remove and return the head of a queue."""
        pending = queue.pop()
        self._forget(pending)
        return pending

    def watch(self, pending: Pending) -> None:
        """Note when a request expires; call it when that changes."""
        item = (pending.expires_at, pending.sequence, pending)
        heapq.heappush(self._expiries, item)
        if len(self._expiries) > 2 * len(self) + _STALE_ALLOWANCE:
            self._expiries = [
                item for item in self._expiries if _is_valid(item[0], item[2])
            ]
            heapq.heapify(self._expiries)

    def next_expiry(self) -> float | None:
        """Return when the next request expires."""
        while self._expiries:
            expires_at, _, pending = self._expiries[0]
            if _is_valid(expires_at, pending):
                return expires_at
            heapq.heappop(self._expiries)
        return None

    def expired(self, now: float) -> Iterator[Pending]:
        """Remove and yield the requests that have expired."""
        while True:
            expires_at = self.next_expiry()
            if expires_at is None or expires_at > now:
                return
            pending = heapq.heappop(self._expiries)[-1]
            self.remove(pending)
            yield pending

    def queue_of(self, pending: Pending) -> FairQueue | None:
        """Return the queue that a request would join, if it exists."""
        by_class = self.queues.get(pending.request.target, {})
        return by_class.get(pending.request.service_class)

    def ahead_of(self, pending: Pending) -> int:
        """Estimate how many requests go before a new one."""
        by_class = self.queues.get(pending.request.target, {})
        rank = pending.request.service_class.rank
        ahead = sum(
            queue.size
            for service_class, queue in by_class.items()
            if service_class.rank < rank
        )
        own = by_class.get(pending.request.service_class)
        if own is None:
            return ahead
        turns = own.waiting_of(pending.request.caller) + 1
        return ahead + min(own.size, turns * own.callers)

    def select(self, targets: Iterable[str] | None) -> Iterator[FairQueue]:
        """Yield the queues of some targets, or of all."""
        names = self.queues if targets is None else targets
        for name in tuple(names):
            yield from self.queues.get(name, {}).values()

    def waiting(self) -> list[Pending]:
        """Return all waiting requests."""
        return [pending for queue in self.select(None) for pending in queue]

    def waiting_for(self, target: str) -> int:
        """Return how many requests wait for a target."""
        by_class = self.queues.get(target, {})
        return sum(queue.size for queue in by_class.values())

    def _waiting_of(self, pending: Pending) -> int:
        queue = self.queue_of(pending)
        return queue.waiting_of(pending.request.caller) if queue else 0

    def _forget(self, pending: Pending) -> None:
        request = pending.request
        self.requests[request.service_class] -= 1
        self.tokens[request.service_class] -= pending.cost
        by_class = self.queues[request.target]
        if by_class[request.service_class].size:
            return
        by_class.pop(request.service_class)
        if not by_class:
            self.queues.pop(request.target)


def _is_valid(expires_at: float, pending: Pending) -> bool:
    waits = pending.state is PendingState.waiting
    return waits and pending.expires_at == expires_at


def _most_of_one_caller(queue: FairQueue) -> int:
    return queue.most_of_one_caller
