"""What one entry has in flight at one upstream."""

from typing import final

from persimmonhold.admission._concurrency_limit import ConcurrencyLimit
from persimmonhold.admission._pending import Pending
from persimmonhold.admission._pending_state import PendingState


@final
class UpstreamUse:
    """Requests in flight by id, and the adaptive limit on them.

    `urgent` counts those that are not batch; `batch` holds the batch
    requests in the order of their start. `credits` is this entry's share of
    the free places in the report made at `credit_at`; batch requests spend
    it, and each own end earns one. No batch request is sent before
    `batch_paused_until`.
    """

    __slots__ = (
        'batch',
        'batch_paused_until',
        'credit_at',
        'credits',
        'limit',
        'urgent',
        'yielded_to',
    )

    def __init__(self, limit: ConcurrencyLimit) -> None:
        """Create the use of an upstream with nothing in flight."""
        self.limit = limit
        self.urgent = 0
        self.credits = 0
        self.batch_paused_until = float('-inf')
        self.credit_at = float('-inf')
        self.batch: dict[str, Pending] = {}
        self.yielded_to = float('-inf')

    @property
    def in_flight(self) -> int:
        """All requests in flight."""
        return self.urgent + len(self.batch)

    def is_full(self, *, for_batch: bool) -> bool:
        """Tell whether the limit is reached; urgent work displaces batch."""
        used = self.in_flight if for_batch else self.urgent
        return used >= max(1, int(self.limit.value))

    def add(self, pending: Pending) -> None:
        """Count a request that is sent."""
        if pending.is_batch:
            self.batch[pending.request.request_id] = pending
        else:
            self.urgent += 1

    def remove(self, pending: Pending) -> None:
        """Stop counting a request."""
        if pending.is_batch:
            self.batch.pop(pending.request.request_id, None)
        else:
            self.urgent -= 1

    def preemptible(self) -> Pending | None:
        """Return the batch request that loses least if stopped now."""
        for pending in reversed(self.batch.values()):
            is_running = pending.state is PendingState.running
            if is_running and not pending.is_protected:
                return pending
        return None
