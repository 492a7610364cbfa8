"""What the leader knows of one order that has not ended.

Invariant: an order is doubtful from the first attempt that ended without a
clear answer, and when it was inherited from another leader: copies of it may
still be on their way.
"""

from typing import Final, final

from persimmonhold.messages import Order, OrderOutcome

_RESEND_S: Final = 1.0
_MAX_RESEND_S: Final = 8.0


@final
class OrderProgress:
    """Attempts and answers of an order."""

    __slots__ = (
        'answered_at',
        'closed_at',
        'is_ending',
        'is_doubtful',
        'is_open',
        'is_sent',
        'order',
        'outcome',
        'resend_at',
        'resend_s',
    )

    def __init__(self, order: Order, now: float, *, inherited: bool) -> None:
        """Create the progress of an order first seen now."""
        self.order = order
        self.is_ending = False
        self.is_open = False
        self.is_sent = inherited
        self.is_doubtful = inherited
        self.outcome: OrderOutcome | None = None
        self.answered_at: float = 0
        self.closed_at = now
        self.resend_at = now
        self.resend_s = _RESEND_S

    def send(self) -> None:
        """Note that an attempt has started."""
        self.is_open = True
        self.is_sent = True

    def answer(self, outcome: OrderOutcome, now: float) -> None:
        """Note a clear answer."""
        self.is_open = False
        self.outcome = outcome
        self.answered_at = now
        self.closed_at = now

    def fail(self, now: float, *, delivered: bool) -> None:
        """Note an attempt that ended without an answer.

        `delivered` is False where not one byte was written.
        """
        self.is_open = False
        self.closed_at = now
        self.is_doubtful = self.is_doubtful or delivered
        self.resend_at = now + self.resend_s
        self.resend_s = min(2 * self.resend_s, _MAX_RESEND_S)

    def forget_answer(self, now: float) -> None:
        """Return to the state without an answer, so that it is resent."""
        self.outcome = None
        self.is_doubtful = True
        self.resend_at = now

    def wants_sending(self, now: float) -> bool:
        """Tell whether it is time for an attempt."""
        if self.is_open or self.is_ending or self.outcome is not None:
            return False
        return now >= self.resend_at
