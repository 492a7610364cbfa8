"""A request for credit that was sent to the fleet controller."""

from typing import final

import msgspec

from persimmonhold.fleet import CreditRequest


@final
class PendingCredit(msgspec.Struct, kw_only=True):
    """A request for credit, when it was sent first, and what became of it.

    `owed` is the cost of a request that the entry admitted on its own before
    the reply arrived: credit that arrives late counts as spent by it. A
    request that no longer waits leaves late credit to others.
    """

    message: CreditRequest
    sent_at: float
    is_waiting: bool = True
    owed: float = 0.0
