"""The waiting requests of one class for one target.

Callers share the queue by start-time fair queuing over tokens: the caller
with the lowest virtual time goes next. Among the requests of one caller the
earliest deadline goes first.

Invariants: a caller's virtual time never goes back while the queue is in
use; no more than `max_callers` callers are told apart, the others share
`buckets` virtual callers by a hash of the name.
"""

import heapq
import zlib
from collections.abc import Iterator
from typing import TypeAlias, final

from persimmonhold.admission._pending import Pending

_Ranked: TypeAlias = tuple[float, int, Pending]


@final
class FairQueue:
    """A queue with fair shares among callers."""

    __slots__ = (
        '_buckets',
        '_finished',
        '_max_callers',
        '_requests',
        '_turns',
        '_virtual_time',
        'size',
    )

    def __init__(self, max_callers: int, buckets: int) -> None:
        """Create an empty queue."""
        self.size = 0
        self._max_callers = max_callers
        self._buckets = buckets
        self._virtual_time = 0.0
        self._finished: dict[str, float] = {}
        self._requests: dict[str, list[_Ranked]] = {}
        self._turns: list[tuple[float, int, str]] = []

    def __iter__(self) -> Iterator[Pending]:
        """Yield the waiting requests in no particular order."""
        for ranked in self._requests.values():
            for _, _, pending in ranked:
                yield pending

    @property
    def callers(self) -> int:
        """The number of callers that wait."""
        return len(self._requests)

    @property
    def most_of_one_caller(self) -> int:
        """The waiting requests of the caller that has the most."""
        return max(map(len, self._requests.values()), default=0)

    @property
    def head(self) -> Pending:
        """The request that goes next; the queue must not be empty."""
        return self._requests[self._turns[0][-1]][0][-1]

    def waiting_of(self, caller: str) -> int:
        """Return how many requests of a caller wait."""
        return len(self._requests.get(self._key(caller), ()))

    def push(self, pending: Pending) -> None:
        """Add a request."""
        key = self._key(pending.request.caller)
        ranked = (pending.request.deadline, pending.sequence, pending)
        self.size += 1
        requests = self._requests.setdefault(key, [])
        heapq.heappush(requests, ranked)
        if len(requests) > 1:
            return
        start = max(self._virtual_time, self._finished.get(key, 0))
        heapq.heappush(self._turns, (start, pending.sequence, key))

    def pop(self) -> Pending:
        """Remove and return the head."""
        start, sequence, key = heapq.heappop(self._turns)
        requests = self._requests[key]
        pending = heapq.heappop(requests)[-1]
        self.size -= 1
        self._virtual_time = start
        finish = start + pending.cost
        if requests:
            heapq.heappush(self._turns, (finish, sequence, key))
            return pending
        self._requests.pop(key)
        self._remember(key, finish)
        return pending

    def remove(self, pending: Pending) -> None:
        """Remove a request that waits, wherever it is."""
        key = self._key_of(pending)
        requests = self._requests[key]
        requests.remove((pending.request.deadline, pending.sequence, pending))
        heapq.heapify(requests)
        self.size -= 1
        if requests:
            return
        self._requests.pop(key)
        turn = next(turn for turn in self._turns if turn[-1] == key)
        self._turns.remove(turn)
        heapq.heapify(self._turns)
        self._remember(key, turn[0])

    def last_of_busiest(self) -> Pending:
        """Return the least urgent request of the caller with the most."""
        busiest = max(self._requests.values(), key=len)
        return max(busiest)[-1]

    def _remember(self, key: str, finish: float) -> None:
        """Keep the virtual time of a caller that waits no more."""
        if not self.size:
            self._finished.clear()
            self._virtual_time = 0
            return
        self._finished[key] = finish
        if len(self._finished) > self._max_callers:
            past = min(self._finished, key=self._finished.__getitem__)
            self._finished.pop(past)

    def _key(self, caller: str) -> str:
        if caller in self._requests or len(self._requests) < self._max_callers:
            return caller
        return f'#{zlib.crc32(caller.encode()) % self._buckets}'

    def _key_of(self, pending: Pending) -> str:
        """Return the key under which a request was pushed."""
        ranked = (pending.request.deadline, pending.sequence, pending)
        caller = pending.request.caller
        if ranked in self._requests.get(caller, ()):
            return caller
        return f'#{zlib.crc32(caller.encode()) % self._buckets}'
