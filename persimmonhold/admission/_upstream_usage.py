"""The requests that one entry has in flight at one upstream."""

from typing import final

from persimmonhold.admission._concurrency_limit import ConcurrencyLimit
from persimmonhold.admission._pending_request import PendingRequest
from persimmonhold.admission._pending_state import PendingState


@final
class UpstreamUsage:
    """This entry's requests in flight at one upstream, and their limits.

    Times are in seconds of the entry's clock.

    - `limit` is the adaptive limit on the requests in flight.
    - `urgent_count` counts the non-batch requests; `batch_requests` holds the
      batch requests by id in the order of their start.
    - `batch_credits` is the number of further batch requests that may be sent;
      promoted batch requests need no credit. Each new load report sets it to
      this entry's share of the free slots. `credits_report_made_at` is when
      the last report used for that was made.
    - No batch request is sent before `batch_paused_until`, unless promoted.
    - Each load report is considered once for preemption on behalf of the
      requests queued at the upstream. `preemption_report_made_at` is when the
      last report considered was made.
    """

    __slots__ = (
        'batch_requests',
        'batch_paused_until',
        'batch_credits',
        'credits_report_made_at',
        'limit',
        'preemption_report_made_at',
        'urgent_count',
    )

    def __init__(self, limit: ConcurrencyLimit) -> None:
        """Create the state of an upstream with no request in flight."""
        self.limit = limit
        self.urgent_count = 0
        self.batch_credits = 0
        self.batch_paused_until = float('-inf')
        self.credits_report_made_at = float('-inf')
        self.batch_requests: dict[str, PendingRequest] = {}
        self.preemption_report_made_at = float('-inf')

    @property
    def in_flight(self) -> int:
        """The number of requests in flight."""
        return self.urgent_count + len(self.batch_requests)

    def is_full(self, *, for_batch: bool) -> bool:
        """Return whether the adaptive limit permits no further request.

        All requests in flight count against a further batch request, but only
        urgent requests count against a further urgent request.
        """
        used = self.in_flight if for_batch else self.urgent_count
        return used >= max(1, int(self.limit.value))

    def add_request(self, pending: PendingRequest) -> None:
        """Count a request that has been sent to this upstream."""
        if pending.is_batch:
            self.batch_requests[pending.request.request_id] = pending
        else:
            self.urgent_count += 1

    def remove_request(self, pending: PendingRequest) -> None:
        """Stop counting a request whose attempt at this upstream ended."""
        if pending.is_batch:
            self.batch_requests.pop(pending.request.request_id, None)
        else:
            self.urgent_count -= 1

    def find_preemptible(self) -> PendingRequest | None:
        """Return the batch request to preempt first, or None.

        Of the running batch requests that are not protected from preemption,
        this is the last one started.
        """
        for pending in reversed(self.batch_requests.values()):
            is_running = pending.state is PendingState.running
            if is_running and not pending.is_protected:
                return pending
        return None
