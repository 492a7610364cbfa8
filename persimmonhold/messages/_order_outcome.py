"""The outcomes of orders."""

import enum
from typing import final


@final
@enum.unique
class OrderOutcome(enum.StrEnum):
    """The answer of an engine to an order, or how the order ended.

    Engines never answer `no_effect`: it is recorded for an order that ended
    without any effect.
    """

    accepted = 'accepted'
    stale_fence = 'stale_fence'
    no_memory = 'no_memory'
    unknown_target = 'unknown_target'
    no_effect = 'no_effect'
