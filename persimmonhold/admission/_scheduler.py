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

from persimmonhold.admission._dispatch_action import DispatchAction
from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._fair_queue import FairQueue
from persimmonhold.admission._forecast import Forecast
from persimmonhold.admission._launcher import Launcher
from persimmonhold.admission._pending import Pending
from persimmonhold.admission._waiting_room import WaitingRoom

_DUE_RANK: Final = -1


@final
class Scheduler:
    """Sends requests out of the queues while upstreams take them.

    `looked_at` is when all queues were last looked at.
    """

    __slots__ = (
        '_forecast',
        '_launcher',
        '_room',
        '_settings',
        '_urgent_turns',
        'looked_at',
    )

    def __init__(
        self,
        room: WaitingRoom,
        launcher: Launcher,
        forecast: Forecast,
        settings: DispatcherSettings,
    ) -> None:
        """Create the scheduler of a room."""
        self.looked_at = 0.0
        self._room = room
        self._launcher = launcher
        self._forecast = forecast
        self._settings = settings
        self._urgent_turns = 0

    def must_wait(self, pending: Pending, now: float) -> bool:
        """Tell whether others go first."""
        by_class = self._room.queues.get(pending.request.target)
        if not by_class:
            return False
        rank = pending.request.service_class.rank
        return any(
            self._rank(queue.head, now) <= rank for queue in by_class.values()
        )

    def send(
        self,
        pending: Pending,
        now: float,
    ) -> list[DispatchAction] | None:
        """Send a request now, or return None where it has to wait."""
        is_due = self._is_due(pending, now)
        route = self._launcher.find_route(pending, now, is_due=is_due)
        if route is None:
            return None
        self._urgent_turns += 1
        if is_due:
            self._urgent_turns = 0
        return self._launcher.dispatch(pending, route, now, is_due=is_due)

    def dispatch_waiting(
        self,
        targets: Iterable[str] | None,
        now: float,
    ) -> list[DispatchAction]:
        """Dispatch from queues in order until nothing more fits."""
        if targets is None:
            self.looked_at = now
        actions: list[DispatchAction] = []
        passed_over: list[Pending] = []
        turns = [self._turn(queue, now) for queue in self._room.select(targets)]
        heapq.heapify(turns)
        while turns:
            queue = heapq.heappop(turns)[-1]
            sent = self.send(queue.head, now)
            if sent is None and not queue.head.excluded:
                continue
            pending = self._room.pop(queue)
            if sent is None:
                passed_over.append(pending)
            else:
                self._note_dispatch(pending, queue, now)
                actions.extend(sent)
            if queue.size:
                heapq.heappush(turns, self._turn(queue, now))
        for pending in passed_over:
            self._room.add(pending)
        return actions

    def _rank(self, pending: Pending, now: float) -> int:
        """Return the priority; a batch request that is due goes first."""
        if self._is_due(pending, now):
            return _DUE_RANK
        return pending.request.service_class.rank

    def _is_due(self, pending: Pending, now: float) -> bool:
        """Tell whether a batch request has a turn of the reserved share."""
        if self._urgent_turns < self._settings.batch_turn:
            return False
        waited_s = now - pending.queued_at
        return pending.is_batch and waited_s >= self._settings.batch_aging_s

    def _turn(
        self,
        queue: FairQueue,
        now: float,
    ) -> tuple[int, float, int, FairQueue]:
        head = queue.head
        rank = self._rank(head, now)
        order = head.queued_at if rank == _DUE_RANK else head.request.deadline
        return rank, order, head.sequence, queue

    def _note_dispatch(
        self,
        pending: Pending,
        queue: FairQueue,
        now: float,
    ) -> None:
        record = self._forecast.record(pending.request.target)
        record.dispatched(now, more_wait=bool(queue.size))
