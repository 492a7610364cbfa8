"""The answer of an engine to an order."""

from typing import final

import msgspec

from persimmonhold.messages._order_outcome import OrderOutcome


@final
class OrderAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The immediate answer; later inventories show when the order is done."""

    fence: int
    outcome: OrderOutcome
    detail: str = ''
