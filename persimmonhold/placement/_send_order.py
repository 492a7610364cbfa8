"""The action that sends an order."""

from typing import final

import msgspec

from persimmonhold.messages import Order


@final
class SendOrder(msgspec.Struct, frozen=True):
    """Send a committed order on its own connection, then close that."""

    order: Order
