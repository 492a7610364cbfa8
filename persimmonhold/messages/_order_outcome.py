"""How an engine takes an order."""

import enum
from typing import final


@final
@enum.unique
class OrderOutcome(enum.StrEnum):
    """The answers to an order, and how it ended.

    `no_effect` is never an answer: it ends an order that left nothing.
    """

    accepted = 'accepted'
    stale_fence = 'stale_fence'
    no_memory = 'no_memory'
    unknown_target = 'unknown_target'
    no_effect = 'no_effect'
