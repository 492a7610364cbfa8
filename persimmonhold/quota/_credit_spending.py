"""The credit that one request has spent."""

from typing import final

import msgspec


@final
class CreditPart(msgspec.Struct, frozen=True):
    """Credit of one grant, and when the grant expires at this entry."""

    grant_id: int
    tokens: float
    expires_at: float


@final
class CreditSpending(msgspec.Struct, frozen=True, kw_only=True):
    """What a request has spent; needed to return it if it was not sent.

    `parts` is empty if the entry admitted the request on its own.
    """

    workspace: str
    cost: float
    parts: tuple[CreditPart, ...] = ()

    @property
    def is_alone(self) -> bool:
        """Whether the entry admitted the request without the controller."""
        return not self.parts
