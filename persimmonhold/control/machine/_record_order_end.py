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
    """Ends the memory reservation of an order.

    It is committed once the observed inventory shows how the order ended.
    """

    at_ms: int
    fence: int
    outcome: OrderOutcome
