"""The action that commits the end of an order."""

from typing import final

import msgspec

from persimmonhold.messages import OrderOutcome


@final
class CommitOrderEnd(msgspec.Struct, frozen=True):
    """Commit the outcome of an order that can have no further effect."""

    fence: int
    outcome: OrderOutcome
