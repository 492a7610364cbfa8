"""A request between its arrival and its end."""

from typing import final

from persimmonhold.admission._pending_state import PendingState
from persimmonhold.admission._ticket import Ticket
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
        'ticket',
    )

    def __init__(self, ticket: Ticket, sequence: int, now: float) -> None:
        """Create a request that has just arrived."""
        self.ticket = ticket
        self.sequence = sequence
        self.arrived_at = now
        self.queued_at = now
        self.expires_at = ticket.deadline
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
        return self.ticket.service_class is ServiceClass.batch

    @property
    def cost(self) -> int:
        """The work that is left, in tokens; at least one."""
        ticket = self.ticket
        left = ticket.output_tokens - self.delivered_tokens
        return max(1, ticket.prompt_tokens + left)
