"""The dispatcher's state of a request between its arrival and its end."""

from typing import final

from persimmonhold.admission._admission_request import AdmissionRequest
from persimmonhold.admission._pending_state import PendingState
from persimmonhold.catalogue import ServiceClass
from persimmonhold.failures import Ran
from persimmonhold.routing import Attempt


@final
class PendingRequest:
    """The dispatcher's mutable state of one request.

    Times are in seconds of the entry's clock. `sequence` numbers the requests
    in the order of their arrival. A waiting request is refused at
    `expires_at`, which `is_limited_by_stop` if the planned stop of the entry
    sets it. `unserved_since` is the time since when no reachable upstream
    serves its target, None if one does. `excluded_upstreams` have failed this
    request. `delivered_tokens` were sent to the caller before a preemption.
    `ran` becomes unknown with the first attempt that may have run, and stays
    so. A request with `is_protected` is not preempted.
    """

    __slots__ = (
        'arrived_at',
        'attempt',
        'delivered_tokens',
        'excluded_upstreams',
        'expires_at',
        'is_limited_by_stop',
        'unserved_since',
        'is_protected',
        'preemption_count',
        'queued_at',
        'ran',
        'request',
        'sequence',
        'state',
    )

    def __init__(
        self, request: AdmissionRequest, sequence: int, now: float
    ) -> None:
        """Create the state of a request that has just arrived."""
        self.request = request
        self.sequence = sequence
        self.arrived_at = now
        self.queued_at = now
        self.expires_at = request.deadline
        self.is_limited_by_stop = False
        self.unserved_since: float | None = None
        self.state = PendingState.waiting
        self.attempt: Attempt | None = None
        self.excluded_upstreams: frozenset[str] = frozenset()
        self.delivered_tokens = 0
        self.preemption_count = 0
        self.is_protected = False
        self.ran = Ran.no

    @property
    def is_batch(self) -> bool:
        """Whether the request is of the batch class."""
        return self.request.service_class is ServiceClass.batch

    @property
    def cost_tokens(self) -> int:
        """The tokens still to be processed: prompt and answer, at least 1."""
        request = self.request
        left = request.output_tokens - self.delivered_tokens
        return max(1, request.prompt_tokens + left)
