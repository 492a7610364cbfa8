"""The order in which waiting requests are sent.

Classes go by rank, and requests of one class that are first in their queues
by deadline. A batch request that has waited for long is due: it goes before
all others, once in a number of urgent dispatches. So a batch request at
position k of its queue is sent after at most the ageing time and k times
that number of urgent dispatches, if its upstreams take work at all.
"""

import heapq
from collections.abc import Iterable
from typing import Final, final

from persimmonhold.admission._attempt_controller import AttemptController
from persimmonhold.admission._dispatch_action import DispatchAction
from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._fair_queue import FairQueue
from persimmonhold.admission._pending_request import PendingRequest
from persimmonhold.admission._request_queues import RequestQueues
from persimmonhold.admission._wait_estimator import WaitEstimator

_DUE_RANK: Final = -1


@final
class Scheduler:
    """Sends requests out of the queues while upstreams take them.

    `looked_at` is when all queues were last looked at.
    """

    __slots__ = (
        '_estimator',
        '_attempts',
        '_queues',
        '_settings',
        '_urgent_dispatches',
        'last_full_scan_at',
    )

    def __init__(
        self,
        queues: RequestQueues,
        attempts: AttemptController,
        estimator: WaitEstimator,
        settings: DispatcherSettings,
    ) -> None:
        """Create the scheduler of a room."""
        self.last_full_scan_at = 0.0
        self._queues = queues
        self._attempts = attempts
        self._estimator = estimator
        self._settings = settings
        self._urgent_dispatches = 0

    def must_wait(self, pending: PendingRequest, now: float) -> bool:
        """Tell whether others go first."""
        by_class = self._queues.by_target.get(pending.request.target)
        if not by_class:
            return False
        rank = pending.request.service_class.rank
        return any(
            self._rank(queue.head, now) <= rank for queue in by_class.values()
        )

    def try_dispatch(
        self,
        pending: PendingRequest,
        now: float,
    ) -> list[DispatchAction] | None:
        """Send a request now, or return None where it has to wait."""
        is_due = self._is_due(pending, now)
        route = self._attempts.find_route(pending, now, is_due=is_due)
        if route is None:
            return None
        self._urgent_dispatches += 1
        if is_due:
            self._urgent_dispatches = 0
        return self._attempts.dispatch(pending, route, now, is_due=is_due)

    def dispatch_waiting(
        self,
        targets: Iterable[str] | None,
        now: float,
    ) -> list[DispatchAction]:
        """Dispatch from queues in order until nothing more fits."""
        if targets is None:
            self.last_full_scan_at = now
        actions: list[DispatchAction] = []
        skipped: list[PendingRequest] = []
        heap = [
            self._heap_item(queue, now)
            for queue in self._queues.iter_queues(targets)
        ]
        heapq.heapify(heap)
        while heap:
            queue = heapq.heappop(heap)[-1]
            dispatched = self.try_dispatch(queue.head, now)
            if dispatched is None and not queue.head.excluded:
                continue
            pending = self._queues.pop(queue)
            if dispatched is None:
                skipped.append(pending)
            else:
                self._record_dispatch(pending, queue, now)
                actions.extend(dispatched)
            if queue.size:
                heapq.heappush(heap, self._heap_item(queue, now))
        for pending in skipped:
            self._queues.add(pending)
        return actions

    def _rank(self, pending: PendingRequest, now: float) -> int:
        """Return the priority; a batch request that is due goes first."""
        if self._is_due(pending, now):
            return _DUE_RANK
        return pending.request.service_class.rank

    def _is_due(self, pending: PendingRequest, now: float) -> bool:
        """Tell whether a batch request has a turn of the reserved share."""
        if self._urgent_dispatches < self._settings.urgent_per_batch_turn:
            return False
        waited_s = now - pending.queued_at
        return pending.is_batch and waited_s >= self._settings.batch_aging_s

    def _heap_item(
        self,
        queue: FairQueue,
        now: float,
    ) -> tuple[int, float, int, FairQueue]:
        head = queue.head
        rank = self._rank(head, now)
        order = head.queued_at if rank == _DUE_RANK else head.request.deadline
        return rank, order, head.sequence, queue

    def _record_dispatch(
        self,
        pending: PendingRequest,
        queue: FairQueue,
        now: float,
    ) -> None:
        statistics = self._estimator.statistics_for(pending.request.target)
        statistics.record_dispatch(now, more_wait=bool(queue.size))
