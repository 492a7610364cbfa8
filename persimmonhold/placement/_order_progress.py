"""The leader's knowledge of one outstanding order.

Invariant: an order has an uncertain attempt if it was inherited from another
leader, if an attempt that may have sent bytes ended without a clear answer, or
if its answer was discarded: messages may still be in transit to the engine.
"""

from typing import Final, final

from persimmonhold.messages import Order, OrderOutcome

# The delay before the next attempt; it doubles with each failed attempt.
_MIN_RESEND_DELAY_S: Final = 1.0
_MAX_RESEND_DELAY_S: Final = 8.0


@final
class OrderProgress:
    """Attempts to send one order, and the engine's answer to it.

    `is_sent` is true if the order may have been sent, `is_attempt_open` while
    an attempt to send it is in progress, and `is_ending` once the commit of
    its end was requested. `outcome` is the engine's answer, or None if there
    is none. Times are in seconds of the leader's monotonic clock.
    """

    __slots__ = (
        'answered_at',
        'attempt_ended_at',
        'has_uncertain_attempt',
        'is_attempt_open',
        'is_ending',
        'is_sent',
        'next_send_at',
        'order',
        'outcome',
        'resend_delay_s',
    )

    def __init__(self, order: Order, now: float, *, is_inherited: bool) -> None:
        """Create the progress of an order that is first seen at `now`.

        `is_inherited` tells that an earlier leader may have sent it.
        """
        self.order = order
        self.is_ending = False
        self.is_attempt_open = False
        self.is_sent = is_inherited
        self.has_uncertain_attempt = is_inherited
        self.outcome: OrderOutcome | None = None
        self.answered_at: float = 0
        self.attempt_ended_at = now
        self.next_send_at = now
        self.resend_delay_s = _MIN_RESEND_DELAY_S

    def begin_attempt(self) -> None:
        """Record that an attempt to send the order has started."""
        self.is_attempt_open = True
        self.is_sent = True

    def record_answer(self, outcome: OrderOutcome, now: float) -> None:
        """Record the answer that ended the open attempt."""
        self.is_attempt_open = False
        self.outcome = outcome
        self.answered_at = now
        self.attempt_ended_at = now

    def record_failed_attempt(
        self, now: float, *, has_sent_bytes: bool
    ) -> None:
        """Record an attempt that ended without an answer; delay the next one.

        The delay doubles with each failed attempt, up to a maximum.
        `has_sent_bytes` is False only if no byte was written.
        """
        self.is_attempt_open = False
        self.attempt_ended_at = now
        self.has_uncertain_attempt = (
            self.has_uncertain_attempt or has_sent_bytes
        )
        self.next_send_at = now + self.resend_delay_s
        self.resend_delay_s = min(2 * self.resend_delay_s, _MAX_RESEND_DELAY_S)

    def discard_answer(self, now: float) -> None:
        """Discard the answer, so that the order is sent again."""
        self.outcome = None
        self.has_uncertain_attempt = True
        self.next_send_at = now

    def is_send_due(self, now: float) -> bool:
        """Tell whether an attempt to send the order should start now."""
        if self.is_attempt_open or self.is_ending or self.outcome is not None:
            return False
        return now >= self.next_send_at
