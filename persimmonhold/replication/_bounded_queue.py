"""A queue that is bounded both in the number and in the size of its items."""

from typing import Generic, TypeVar, final

ItemT = TypeVar('ItemT')


@final
class BoundedQueue(Generic[ItemT]):
    """Holds items in order; `size_bytes` is the size of all together.

    An item that alone exceeds `max_bytes` is taken if nothing else waits.
    """

    __slots__ = ('_items', '_max_bytes', '_max_items', 'size_bytes')

    def __init__(self, max_items: int, max_bytes: int) -> None:
        """Create an empty queue."""
        self._items: list[ItemT] = []
        self._max_items = max_items
        self._max_bytes = max_bytes
        self.size_bytes = 0

    def add(self, item: ItemT, item_bytes: int, other_bytes: int = 0) -> bool:
        """Add an item; return False if there is no room for it.

        `other_bytes` count towards the limit as if they were in the queue.
        """
        waiting_bytes = self.size_bytes + other_bytes
        if len(self._items) >= self._max_items:
            return False
        if waiting_bytes and waiting_bytes + item_bytes > self._max_bytes:
            return False
        self._items.append(item)
        self.size_bytes += item_bytes
        return True

    def take_all(self) -> tuple[ItemT, ...]:
        """Remove and return all items."""
        taken = tuple(self._items)
        self._items.clear()
        self.size_bytes = 0
        return taken
