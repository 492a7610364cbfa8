"""The command that commits the intent to send an order."""

from typing import final

import msgspec

from persimmonhold.messages import Order


@final
class RecordIntent(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='record_intent',
):
    """Reserves accelerator memory for an order before it is sent.

    The log index of this command becomes the fencing token of the order.
    """

    at_ms: int
    order: Order
    reason: str = ''
