"""The action that commits the intent to send an order."""

from typing import final

import msgspec

from persimmonhold.messages import Order


@final
class CommitIntent(msgspec.Struct, frozen=True):
    """Commit an order before it is sent.

    The log index of the commit becomes the fencing token of the order.
    """

    order: Order
    reason: str
