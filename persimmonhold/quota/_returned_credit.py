"""Unspent credit on its way back to the fleet controller."""

from typing import Final, final

# The controller knows a grant for so long after it was issued.
_KEPT_S: Final = 12.0
# Bounds a message; the rest follows with the next one.
_MAX_PER_MESSAGE: Final = 32


@final
class ReturnedCredit:
    """All credit of each grant that was returned, until the reply confirms it.

    `totals` are by grant; `confirmed` is the part of them that has arrived,
    and nothing is known of a grant after its `kept_until`.
    """

    __slots__ = ('confirmed', 'kept_until', 'totals')

    def __init__(self) -> None:
        """Create a record without any grant."""
        self.totals: dict[int, float] = {}
        self.confirmed: dict[int, float] = {}
        self.kept_until: dict[int, float] = {}

    def add(self, grant_id: int, tokens: float, now: float) -> None:
        """Add unspent credit of a grant."""
        self.kept_until.setdefault(grant_id, now + _KEPT_S)
        self.totals[grant_id] = self.totals.get(grant_id, 0) + tokens

    def list_unconfirmed(self, now: float) -> tuple[tuple[int, float], ...]:
        """Return what the next message tells the controller."""
        self._drop_old(now)
        waiting = [
            (grant_id, total)
            for grant_id, total in self.totals.items()
            if total > self.confirmed.get(grant_id, 0)
        ]
        return tuple(waiting[:_MAX_PER_MESSAGE])

    def confirm(self, returned: tuple[tuple[int, float], ...]) -> None:
        """Record that the controller has got a message with these."""
        for grant_id, total in returned:
            if grant_id in self.totals:
                self.confirmed[grant_id] = max(
                    total, self.confirmed.get(grant_id, 0)
                )

    def _drop_old(self, now: float) -> None:
        while self.kept_until:
            first = next(iter(self.kept_until))
            if now <= self.kept_until[first]:
                break
            self.kept_until.pop(first)
            self.totals.pop(first)
            self.confirmed.pop(first, None)
