"""How an engine takes an order."""

import enum
from typing import final


@final
@enum.unique
class OrderOutcome(enum.StrEnum):
    """The answers to an order."""

    accepted = 'accepted'
    stale_fence = 'stale_fence'
    no_memory = 'no_memory'
    unknown_target = 'unknown_target'
