"""What an engine answers to an order."""

from typing import final

import msgspec

from persimmonhold.messages._order_outcome import OrderOutcome


@final
class OrderAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The immediate answer; completion shows in the inventory."""

    fence: int
    outcome: OrderOutcome
    detail: str = ''
