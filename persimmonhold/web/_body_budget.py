"""The memory that a server gives to request bodies."""

from typing import final


@final
class BodyBudget:
    """Counts the bytes of bodies that are kept.

    Invariant: what is kept never exceeds `limit_bytes`, however many
    connections send at the same time.
    """

    __slots__ = ('limit_bytes', 'reserved_bytes')

    def __init__(self, limit_bytes: int) -> None:
        """Create a budget of which nothing is used."""
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def try_reserve(self, size: int) -> bool:
        """Take bytes, or return False where they are not to be had."""
        if self.reserved_bytes + size > self.limit_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give bytes back that were taken."""
        self.reserved_bytes -= size
