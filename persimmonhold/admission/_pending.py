"""A request between its arrival and its end."""

from typing import final

from persimmonhold.admission._admission_request import AdmissionRequest
from persimmonhold.admission._pending_state import PendingState
from persimmonhold.catalogue import ServiceClass
from persimmonhold.failures import Ran
from persimmonhold.routing import Attempt


@final
class Pending:
    """What the dispatcher remembers of a request; times in seconds.

    A waiting request is refused at `expires_at`. `held_at` is since when
    it waits for an upstream that serves its target. `ran` turns to unknown
    with the first attempt that may have run, and never back.
    """

    __slots__ = (
        'arrived_at',
        'attempt',
        'delivered_tokens',
        'excluded',
        'expires_at',
        'held_at',
        'is_protected',
        'preemptions',
        'queued_at',
        'ran',
        'sequence',
        'state',
        'request',
    )

    def __init__(
        self, request: AdmissionRequest, sequence: int, now: float
    ) -> None:
        """Create a request that has just arrived."""
        self.request = request
        self.sequence = sequence
        self.arrived_at = now
        self.queued_at = now
        self.expires_at = request.deadline
        self.held_at: float | None = None
        self.state = PendingState.waiting
        self.attempt: Attempt | None = None
        self.excluded: frozenset[str] = frozenset()
        self.delivered_tokens = 0
        self.preemptions = 0
        self.is_protected = False
        self.ran = Ran.no

    @property
    def is_batch(self) -> bool:
        """Tell whether the request fills gaps."""
        return self.request.service_class is ServiceClass.batch

    @property
    def cost(self) -> int:
        """The work that is left, in tokens; at least one."""
        request = self.request
        left = request.output_tokens - self.delivered_tokens
        return max(1, request.prompt_tokens + left)
