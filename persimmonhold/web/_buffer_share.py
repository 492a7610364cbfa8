"""Part of a memory budget that one owner has reserved."""

from typing import final

from persimmonhold.web._buffer_holder import BufferHolder
from persimmonhold.web._memory_budget import MemoryBudget


@final
class BufferShare:
    """Reserves the present size of a buffer; 0 bytes release it."""

    __slots__ = ('budget', 'size_bytes')

    def __init__(self, budget: MemoryBudget) -> None:
        """Create a share of no bytes."""
        self.budget = budget
        self.size_bytes = 0

    def resize(self, size_bytes: int) -> None:
        """Reserve what a buffer holds by now."""
        growth = size_bytes - self.size_bytes
        self.size_bytes = size_bytes
        if growth > 0:
            self.budget.reserve(growth)
        elif growth < 0:
            self.budget.release(-growth)

    def try_resize(
        self, size_bytes: int, requester: BufferHolder | None = None
    ) -> bool:
        """Reserve a larger size; return False, without effect, if it is full."""
        growth = size_bytes - self.size_bytes
        if not self.budget.try_reserve(growth, requester):
            return False
        self.size_bytes = size_bytes
        return True
