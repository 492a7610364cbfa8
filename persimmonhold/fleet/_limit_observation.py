"""What a response stated about the request limit of its upstream."""

import math
from typing import Self, final

import msgspec


@final
class LimitObservation(msgspec.Struct, frozen=True):
    """A request limit, or that there is none, as one response stated it.

    `per_s` is how many requests a second the upstream accepts from all VMs
    together, or None. The upstream stated it between `sent_at`, when the
    request was sent, and `received_at`, in seconds of the observer's clock.
    """

    per_s: float | None
    sent_at: float
    received_at: float

    def supersedes(self, other: Self) -> bool:
        """Tell whether this observation counts rather than another one.

        It does if its request was sent after the other response had arrived.
        Of two whose order is unknown, the lower limit counts.
        """
        if self.sent_at >= other.received_at:
            return True
        if other.sent_at >= self.received_at:
            return False
        own, others = _order_key(self), _order_key(other)
        return own < others or (
            own == others and self.received_at > other.received_at
        )


def _order_key(observation: LimitObservation) -> float:
    return math.inf if observation.per_s is None else observation.per_s
