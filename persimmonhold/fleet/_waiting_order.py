"""The order of the requests that wait for the upstreams of one service.

Requests for different models compete for the slots of the same upstreams, so
they are ordered together. Rules, the first one that applies decides:

1. Less urgent work gets a guaranteed share of the dispatches while late
   requests of a higher urgency wait.
2. More urgent requests go first, also those that are late, except that an
   in-time request whose due time is near goes before late ones.
3. Of the same priority, those that can be in time go before late ones.
4. Of these, the workspace with the earliest virtual start time goes first.
5. Of these, the earliest due time goes first.

Hedges go behind all requests that can be in time. Without late requests that
are more urgent than others, and without workspaces, this is the order by
lateness, priority and due time.
"""

from collections import deque
from collections.abc import Iterable
from itertools import chain
from typing import Final, TypeAlias, final

from persimmonhold.fairness import FairClock
from persimmonhold.fleet._request_queue import PendingRequest, RequestQueue
from persimmonhold.fleet._send_deadline import MIN_FIRST_EVENT_S
from persimmonhold.fleet._slot_share import GUARANTEED_SHARE

_Waiting: TypeAlias = list[PendingRequest]
# Less urgent work is owed this many dispatches at most. Only then does it go
# before requests that can be in time; before late ones it goes when owed one.
_MAX_OWED: Final = 3
_MAX_WORKSPACES: Final = 4096  # the most that a routing document may have


@final
class WaitingOrder:
    """Orders the waiting requests of a service at this entry.

    `owed` is the number of dispatches that less urgent work is owed. It grows
    only while `is_share_due`, that is, while late requests that are more urgent
    than others wait. `top_priority` is the highest urgency that waits.
    """

    __slots__ = ('clock', 'is_share_due', 'owed', 'top_priority')

    def __init__(self) -> None:
        """Create the order of a service without waiting requests."""
        self.clock = FairClock(_MAX_WORKSPACES)
        self.is_share_due = False
        self.owed = 0.0
        self.top_priority = (0, 0)

    def arrange(self, queues: Iterable[RequestQueue], now: float) -> _Waiting:
        """Order the requests of the queues of a service; rank them in it."""
        used = [queue for queue in queues if queue.pending]
        in_time: _Waiting = []
        late: _Waiting = []
        for pending in chain.from_iterable(queue.pending for queue in used):
            pending.update_lateness(now, MIN_FIRST_EVENT_S)
            group = late if pending.is_late else in_time
            group.append(pending)
        self._sort(in_time, late)
        ordered = self._insert_owed(_merge(in_time, late, now), late)
        for rank, ranked in enumerate(ordered):
            ranked.rank = rank
        for unsorted in used:
            unsorted.sort()
        return ordered

    def record_dispatch(self, pending: PendingRequest) -> None:
        """Record that a request is sent, and charge it to its workspace.

        Only the first attempt is charged.
        """
        request = pending.request
        if self.is_share_due:
            self.owed = self._next_owed(pending, self.owed)
        if not pending.send_count:
            self.clock.charge(request.workspace, request.expected_tokens)

    def _sort(self, *groups: _Waiting) -> None:
        """Sort groups of requests, the first of which goes first.

        Each next request of a workspace starts when the one before finishes.
        """
        for unsorted in groups:
            unsorted.sort(key=_due_key)
        if not any(one.request.workspace for one in chain(*groups)):
            return
        starts: dict[str, float] = {}
        for pending in chain(*groups):
            workspace = pending.request.workspace
            start = starts.get(workspace)
            if start is None:
                start = self.clock.find_start(workspace)
            pending.fair_start = start
            starts[workspace] = start + pending.request.expected_tokens
        for group in groups:
            group.sort(key=_fair_key)

    def _insert_owed(self, ordered: _Waiting, late: _Waiting) -> _Waiting:
        """Move less urgent requests up to where their share puts them.

        Does nothing unless late requests of the highest urgency wait.
        """
        priorities = {one.request.priority for one in ordered}
        self.top_priority = min(priorities, default=self.top_priority)
        self.is_share_due = len(priorities) > 1 and any(
            one.hedged is None and self._is_top(one) for one in late
        )
        if self.is_share_due:
            return self._interleave(ordered)
        self.owed = 0
        return ordered

    def _interleave(self, ordered: _Waiting) -> _Waiting:
        """Return the order in which less urgent work gets its share."""
        owed = self.owed
        others = deque(one for one in ordered if not self._is_top(one))
        arranged: _Waiting = []
        for pending in ordered:
            if others and self._is_preceded(pending, owed):
                owed = self._next_owed(others[0], owed)
                arranged.append(others.popleft())
            if not self._is_top(pending):
                if not others or others[0] is not pending:
                    continue  # it was moved up
                others.popleft()
            owed = self._next_owed(pending, owed)
            arranged.append(pending)
        return arranged

    def _is_preceded(self, pending: PendingRequest, owed: float) -> bool:
        """Tell whether less urgent work is owed the place of a request."""
        if not self._is_top(pending):
            return False
        threshold = 1 if pending.is_late else _MAX_OWED
        return owed >= threshold

    def _next_owed(self, sent: PendingRequest, owed: float) -> float:
        """Return what less urgent work is owed after a dispatch."""
        paid = 0 if self._is_top(sent) else 1
        return min(_MAX_OWED, max(0, owed + GUARANTEED_SHARE - paid))

    def _is_top(self, pending: PendingRequest) -> bool:
        """Tell whether a request has the highest urgency that waits."""
        return pending.request.priority == self.top_priority


def _merge(in_time: _Waiting, late: _Waiting, now: float) -> _Waiting:
    """Merge in-time and late requests, both of which are sorted.

    A late request goes before a less urgent one whose due time is not near.
    Hedges, which count as late, go behind all requests in time.
    """
    overdue = deque(one for one in late if one.hedged is None)
    merged: _Waiting = []
    moved: set[int] = set()
    for pending in in_time:
        is_near = pending.is_due_near(now)
        while overdue and not is_near and _is_more_urgent(overdue[0], pending):
            moved.add(overdue[0].request.number)
            merged.append(overdue.popleft())
        merged.append(pending)
    merged.extend(one for one in late if one.request.number not in moved)
    return merged


def _is_more_urgent(pending: PendingRequest, other: PendingRequest) -> bool:
    return pending.request.priority < other.request.priority


def _due_key(pending: PendingRequest) -> tuple[tuple[int, int], float, int]:
    request = pending.request
    return request.priority, request.due_at, request.number


def _fair_key(
    pending: PendingRequest,
) -> tuple[tuple[int, int], float, float, int]:
    request = pending.request
    return (
        request.priority,
        pending.fair_start,
        request.due_at,
        request.number,
    )
