"""The queue of the waiting requests of one service class for one target.

Callers share the queue by start-time fair queuing over tokens: the caller
with the lowest virtual start time goes next. The requests of one caller are
ordered by earliest deadline.

Invariants: a caller's virtual time never decreases while the queue is in
use. At most `max_callers` callers are tracked by name; the others are hashed
by name into `bucket_count` shared buckets.
"""

import heapq
import zlib
from collections.abc import Iterator
from typing import TypeAlias, final

from persimmonhold.admission._pending_request import PendingRequest
from persimmonhold.fairness import FairClock

_RankedRequest: TypeAlias = tuple[float, int, PendingRequest]


@final
class FairQueue:
    """A queue that gives each caller a fair share of the tokens.

    `size` is the number of waiting requests.
    """

    __slots__ = (
        '_bucket_count',
        '_caller_heap',
        '_clock',
        '_max_callers',
        '_requests',
        'size',
    )

    def __init__(self, max_callers: int, bucket_count: int) -> None:
        """Create an empty queue."""
        self.size = 0
        self._max_callers = max_callers
        self._bucket_count = bucket_count
        self._clock = FairClock(max_callers)
        self._requests: dict[str, list[_RankedRequest]] = {}
        self._caller_heap: list[tuple[float, int, str]] = []

    def __iter__(self) -> Iterator[PendingRequest]:
        """Yield the waiting requests in no particular order."""
        for ranked in self._requests.values():
            for _, _, pending in ranked:
                yield pending

    @property
    def caller_count(self) -> int:
        """The number of callers and shared buckets with waiting requests."""
        return len(self._requests)

    @property
    def max_per_caller(self) -> int:
        """The largest number of waiting requests of a caller or bucket."""
        return max(map(len, self._requests.values()), default=0)

    @property
    def head(self) -> PendingRequest:
        """The next request to dispatch; the queue must not be empty."""
        return self._requests[self._caller_heap[0][-1]][0][-1]

    def count_waiting(self, caller: str) -> int:
        """Return the number of waiting requests of a caller or its bucket."""
        return len(self._requests.get(self._assign_key(caller), ()))

    def push(self, pending: PendingRequest) -> None:
        """Add a request to the queue."""
        key = self._assign_key(pending.request.caller)
        ranked = (pending.request.deadline, pending.sequence, pending)
        self.size += 1
        requests = self._requests.setdefault(key, [])
        heapq.heappush(requests, ranked)
        if len(requests) > 1:
            return
        start = self._clock.find_start(key)
        heapq.heappush(self._caller_heap, (start, pending.sequence, key))

    def pop(self) -> PendingRequest:
        """Remove and return the head; charge its tokens to its caller."""
        start, sequence, key = heapq.heappop(self._caller_heap)
        requests = self._requests[key]
        pending = heapq.heappop(requests)[-1]
        self.size -= 1
        self._clock.advance(start)
        finish = start + pending.cost_tokens
        if requests:
            heapq.heappush(self._caller_heap, (finish, sequence, key))
            return pending
        self._requests.pop(key)
        self._store_finish_time(key, finish)
        return pending

    def remove(self, pending: PendingRequest) -> None:
        """Remove a waiting request at any position."""
        key = self._find_key(pending)
        requests = self._requests[key]
        requests.remove((pending.request.deadline, pending.sequence, pending))
        heapq.heapify(requests)
        self.size -= 1
        if requests:
            return
        self._requests.pop(key)
        heap_item = next(
            heap_item for heap_item in self._caller_heap if heap_item[-1] == key
        )
        self._caller_heap.remove(heap_item)
        heapq.heapify(self._caller_heap)
        self._store_finish_time(key, heap_item[0])

    def find_eviction_victim(self) -> PendingRequest:
        """Return the request to evict if the queue has to shrink.

        It is the one with the latest deadline of the caller or bucket with
        the most waiting requests. The queue must not be empty.
        """
        busiest = max(self._requests.values(), key=len)
        return max(busiest)[-1]

    def _store_finish_time(self, key: str, finish: float) -> None:
        """Store the virtual finish time of a caller with no waiting request.

        Resets all virtual times if the queue is empty.
        """
        if self.size:
            self._clock.store_finish(key, finish)
        else:
            self._clock.reset()

    def _assign_key(self, caller: str) -> str:
        """Return the caller's name, or its bucket beyond `max_callers`."""
        if caller in self._requests or len(self._requests) < self._max_callers:
            return caller
        return f'#{zlib.crc32(caller.encode()) % self._bucket_count}'

    def _find_key(self, pending: PendingRequest) -> str:
        """Return the key under which a request was added."""
        ranked = (pending.request.deadline, pending.sequence, pending)
        caller = pending.request.caller
        if ranked in self._requests.get(caller, ()):
            return caller
        return f'#{zlib.crc32(caller.encode()) % self._bucket_count}'
