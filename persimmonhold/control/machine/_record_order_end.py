"""The command that records that an order can no longer take effect."""

from typing import final

import msgspec

from persimmonhold.messages import OrderOutcome


@final
class RecordOrderEnd(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='record_order_end',
):
    """Ends the reservation of an order, based on the observed inventory."""

    at_ms: int
    fence: int
    outcome: OrderOutcome
