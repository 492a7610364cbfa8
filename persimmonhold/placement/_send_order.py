"""The action that sends an order."""

from typing import final

import msgspec

from persimmonhold.messages import Order


@final
class SendOrder(msgspec.Struct, frozen=True):
    """Send a committed order to its engine on a connection of its own.

    The connection is closed afterwards.
    """

    order: Order
