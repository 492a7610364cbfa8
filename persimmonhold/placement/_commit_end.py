"""The action that commits the end of an order."""

from typing import final

import msgspec

from persimmonhold.messages import OrderOutcome


@final
class CommitEnd(msgspec.Struct, frozen=True):
    """Commit that an order can have no further effect."""

    fence: int
    outcome: OrderOutcome
