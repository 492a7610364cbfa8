"""Limit on the memory that request bodies occupy in a server."""

from typing import final


@final
class BodyBudget:
    """Limits the bytes of all request bodies that a server holds in memory.

    Invariant: `reserved_bytes` never exceeds `limit_bytes`, however many
    connections send at the same time.
    """

    __slots__ = ('limit_bytes', 'reserved_bytes')

    def __init__(self, limit_bytes: int) -> None:
        """Create a budget with no bytes reserved."""
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve bytes; return False, without effect, beyond the limit."""
        if self.reserved_bytes + size_bytes > self.limit_bytes:
            return False
        self.reserved_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release bytes that were reserved before."""
        self.reserved_bytes -= size_bytes
