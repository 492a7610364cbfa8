"""The action that commits the intent to send an order."""

from typing import final

import msgspec

from persimmonhold.messages import Order


@final
class CommitIntent(msgspec.Struct, frozen=True):
    """Commit the order; its log index becomes the fencing token."""

    order: Order
    reason: str
