"""The memory that a server gives to request bodies."""

from typing import final


@final
class BodyBudget:
    """Counts the bytes of bodies that are kept.

    Invariant: what is kept never exceeds `limit_bytes`, however many
    connections send at the same time.
    """

    __slots__ = ('kept_bytes', 'limit_bytes')

    def __init__(self, limit_bytes: int) -> None:
        """Create a budget of which nothing is used."""
        self.limit_bytes = limit_bytes
        self.kept_bytes = 0

    def take(self, size: int) -> bool:
        """Take bytes, or return False where they are not to be had."""
        if self.kept_bytes + size > self.limit_bytes:
            return False
        self.kept_bytes += size
        return True

    def give_back(self, size: int) -> None:
        """Give bytes back that were taken."""
        self.kept_bytes -= size
