"""Limit on what a process buffers for its peers, and on their connections."""

import asyncio
import enum
from collections.abc import Callable
from typing import Final, TypeAlias, final

from persimmonhold.web._buffer_holder import BufferHolder

# A search that found nothing to evict is not repeated within this time, as it
# visits all connections.
_SEARCH_INTERVAL_S: Final = 0.02
_MAX_CONNECTIONS: Final = 4096
# Accepted connections have descriptors before the limit applies to them.
_ACCEPT_SHARE: Final = 0.2
_MAX_ACCEPT_BURST: Final = 100
# The budget holds at least so many bodies of the largest size.
_MIN_BODIES: Final = 2


@final
@enum.unique
class EvictionCause(enum.StrEnum):
    """What a process was short of when it closed a connection."""

    memory = 'memory'
    descriptors = 'descriptors'


_OnEviction: TypeAlias = Callable[[EvictionCause], None]
_Group: TypeAlias = dict[BufferHolder, BufferHolder]


@final
class MemoryBudget:
    """Limits the memory and the connections of all servers of a process.

    Where one runs out, what holds the most for the longest without finishing
    is evicted first. Invariant: `try_reserve` never exceeds `limit_bytes`,
    however many connections send at the same time; `reserve` is for what was
    received already, at most one read of each connection.
    """

    __slots__ = (
        '_groups',
        '_searched_at',
        'connection_count',
        'limit_bytes',
        'max_connections',
        'on_eviction',
        'reserved_bytes',
    )

    def __init__(
        self, limit_bytes: int, max_connections: int = _MAX_CONNECTIONS
    ) -> None:
        """Create a budget with no bytes reserved."""
        self.limit_bytes = limit_bytes
        self.max_connections = max_connections
        self.reserved_bytes = 0
        self.connection_count = 0
        self.on_eviction: _OnEviction | None = None
        self._searched_at = 0.0
        # The connections of each server, the last one to finish a request at
        # the end.
        self._groups: dict[object, _Group] = {}

    @property
    def accept_burst(self) -> int:
        """How many connections a server accepts before it counts them."""
        share = int(self.max_connections * _ACCEPT_SHARE)
        return min(_MAX_ACCEPT_BURST, max(1, share))

    def admit_bodies(self, max_body_bytes: int) -> None:
        """Raise the limit if it has no room for bodies of the largest size."""
        least = _MIN_BODIES * max_body_bytes
        self.limit_bytes = max(self.limit_bytes, least)

    def try_reserve(
        self, size_bytes: int, requester: BufferHolder | None = None
    ) -> bool:
        """Reserve bytes; return False, without effect, beyond the limit.

        Others are evicted before, unless the requester itself is first.
        """
        if self.reserved_bytes + size_bytes > self.limit_bytes:
            self._make_room(size_bytes, requester)
        if self.reserved_bytes + size_bytes > self.limit_bytes:
            return False
        self.reserved_bytes += size_bytes
        return True

    def reserve(self, size_bytes: int) -> None:
        """Reserve bytes that a peer has sent; evict beyond the limit."""
        self.reserved_bytes += size_bytes
        if self.reserved_bytes > self.limit_bytes:
            self._make_room(0, None)

    def release(self, size_bytes: int) -> None:
        """Release bytes that were reserved before."""
        self.reserved_bytes -= size_bytes

    def try_connect(self, server: object, holder: BufferHolder) -> bool:
        """Add a connection; return False if there is no descriptor for it.

        Beyond the limit, the server with the most connections closes the one
        that has waited longest without a request that is served.
        """
        if self.connection_count >= self.max_connections:
            victim = self._find_waiting()
            if victim is None:
                return False
            self._report(EvictionCause.descriptors)
            victim.close_at_once()
        self._groups.setdefault(server, {})[holder] = holder
        self.connection_count += 1
        return True

    def record_finish(self, server: object, holder: BufferHolder) -> None:
        """Record that a connection has finished a request."""
        group = self._groups.get(server, {})
        if group.pop(holder, None) is not None:
            group[holder] = holder

    def disconnect(self, server: object, holder: BufferHolder) -> None:
        """Remove a connection; repeated calls have no effect."""
        group = self._groups.get(server, {})
        if group.pop(holder, None) is not None:
            self.connection_count -= 1
            if not group:
                self._groups.pop(server)

    def _find_waiting(self) -> BufferHolder | None:
        """Return the connection to close for a new one, or None."""
        for group in sorted(self._groups.values(), key=len, reverse=True):
            for holder in group:
                if holder.is_waiting:
                    return holder
        return None

    def _make_room(
        self, size_bytes: int, requester: BufferHolder | None
    ) -> None:
        """Evict until there is room, or nothing more can be evicted."""
        now = asyncio.get_running_loop().time()
        while self.reserved_bytes + size_bytes > self.limit_bytes:
            if now - self._searched_at < _SEARCH_INTERVAL_S:
                return
            before = self.reserved_bytes
            victim = self._find_largest(now)
            if victim is None:
                self._searched_at = now
                return
            if victim is requester:
                return
            self._report(EvictionCause.memory)
            victim.evict()
            if self.reserved_bytes >= before:
                self._searched_at = now

    def _find_largest(self, now: float) -> BufferHolder | None:
        """Return the connection with the largest excess, or None."""
        largest = None
        largest_excess = 0.0
        for group in self._groups.values():
            for holder in group:
                excess = holder.compute_excess(now)
                if excess > largest_excess:
                    largest, largest_excess = holder, excess
        return largest

    def _report(self, cause: EvictionCause) -> None:
        if self.on_eviction is not None:
            self.on_eviction(cause)
