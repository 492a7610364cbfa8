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
    """Reserves memory for an order; its log index is the fencing token."""

    at_ms: int
    order: Order
    reason: str = ''
