"""The order in which waiting requests are sent.

Queues are served by the rank of their class, and queues of one class by the
deadline of their heads. A batch request that has waited for `batch_aging_s`
is promoted after `dispatches_per_promotion` other dispatches: it goes before
all others. So a batch request at position k of its queue is sent after at
most the aging time and k times that number of dispatches, provided its
upstreams accept requests at all.
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

# Rank of a promoted batch request; lower than the rank of every service class,
# so that the request is served first.
_PROMOTED_RANK: Final = -1


@final
class Scheduler:
    """Dispatches queued requests while upstreams accept them.

    `last_full_scan_at` is when all queues were last scanned.
    """

    __slots__ = (
        '_attempt_controller',
        '_dispatches_since_promotion',
        '_wait_estimator',
        '_queues',
        '_settings',
        'last_full_scan_at',
    )

    def __init__(
        self,
        queues: RequestQueues,
        attempts: AttemptController,
        estimator: WaitEstimator,
        settings: DispatcherSettings,
    ) -> None:
        """Create a scheduler of the given queues."""
        self.last_full_scan_at = 0.0
        self._queues = queues
        self._attempt_controller = attempts
        self._wait_estimator = estimator
        self._settings = settings
        self._dispatches_since_promotion = 0

    def must_wait(self, pending: PendingRequest, now: float) -> bool:
        """Return whether a request must queue behind waiting ones.

        True if a request of the same or a higher rank waits for its target.
        """
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
        """Start an attempt for a request and return the actions to perform.

        Returns None and changes nothing if no upstream accepts the request
        now.
        """
        is_promoted = self._is_promoted(pending, now)
        route = self._attempt_controller.find_route(
            pending, now, is_promoted=is_promoted
        )
        if route is None:
            return None
        self._dispatches_since_promotion += 1
        if is_promoted:
            self._dispatches_since_promotion = 0
        return self._attempt_controller.start_attempt(
            pending, route, now, is_promoted=is_promoted
        )

    def dispatch_waiting(
        self,
        targets: Iterable[str] | None,
        now: float,
    ) -> list[DispatchAction]:
        """Dispatch the requests waiting for `targets` until no more fit.

        If `targets` is None, dispatches for all targets. A queue is skipped
        once its head does not fit, unless upstreams have failed the head: then
        the requests behind the head may fit and are tried as well.
        """
        if targets is None:
            self.last_full_scan_at = now
        actions: list[DispatchAction] = []
        skipped: list[PendingRequest] = []
        heap = [
            self._build_heap_item(queue, now)
            for queue in self._queues.iter_queues(targets)
        ]
        heapq.heapify(heap)
        while heap:
            queue = heapq.heappop(heap)[-1]
            dispatched = self.try_dispatch(queue.head, now)
            if dispatched is None and not queue.head.excluded_upstreams:
                continue
            pending = self._queues.pop_head(queue)
            if dispatched is None:
                skipped.append(pending)
            else:
                self._record_dispatch(pending, queue, now)
                actions.extend(dispatched)
            if queue.size:
                heapq.heappush(heap, self._build_heap_item(queue, now))
        for pending in skipped:
            self._queues.add_request(pending)
        return actions

    def _rank(self, pending: PendingRequest, now: float) -> int:
        """Return the rank by which a request is served; lower goes first."""
        if self._is_promoted(pending, now):
            return _PROMOTED_RANK
        return pending.request.service_class.rank

    def _is_promoted(self, pending: PendingRequest, now: float) -> bool:
        """Return whether a batch request goes before all others now.

        True if it is aged and `dispatches_per_promotion` requests have been
        dispatched since the last promoted one.
        """
        if (
            self._dispatches_since_promotion
            < self._settings.dispatches_per_promotion
        ):
            return False
        waited_s = now - pending.queued_at
        return pending.is_batch and waited_s >= self._settings.batch_aging_s

    def _build_heap_item(
        self,
        queue: FairQueue,
        now: float,
    ) -> tuple[int, float, int, FairQueue]:
        """Return a sort key of the queue's head, and the queue."""
        head = queue.head
        rank = self._rank(head, now)
        order = (
            head.queued_at if rank == _PROMOTED_RANK else head.request.deadline
        )
        return rank, order, head.sequence, queue

    def _record_dispatch(
        self,
        pending: PendingRequest,
        queue: FairQueue,
        now: float,
    ) -> None:
        statistics = self._wait_estimator.statistics_for(pending.request.target)
        statistics.record_dispatch(now, has_more_waiting=bool(queue.size))
