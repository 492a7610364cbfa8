"""Pool of open connections to upstreams.

Invariant: a connection is reused only if its last response was complete,
nothing has arrived on it since, and it was idle for at most `_MAX_IDLE_S`.
Calls that must not be repeated never get a used connection: the peer could
be closing it at the same time, and then it would stay unknown whether the
call ran.
"""

from collections import deque
from typing import Final, TypeAlias, final

from persimmonhold.web import Address, ClientConnection

_MAX_IDLE_S: Final = 15.0
_MAX_IDLE_PER_PEER: Final = 16
_MAX_IDLE_CONNECTIONS: Final = 512
_IdleConnections: TypeAlias = deque[tuple[float, ClientConnection]]


@final
class ConnectionPool:
    """Keeps idle connections; reuses the most recently used of a peer first."""

    __slots__ = ('_idle', '_size')

    def __init__(self) -> None:
        """Create an empty pool."""
        self._idle: dict[Address, _IdleConnections] = {}
        self._size = 0

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return self._size

    def acquire(self, peer: Address, now: float) -> ClientConnection | None:
        """Remove and return an idle connection to `peer`, or return None.

        Unusable connections that are found on the way are closed.
        """
        idle = self._idle.get(peer)
        while idle:
            since, connection = idle.pop()
            self._size -= 1
            if now - since <= _MAX_IDLE_S and connection.is_reusable:
                return connection
            connection.close()
        return None

    def release(self, connection: ClientConnection, now: float) -> None:
        """Return a connection to the pool, or close it.

        It is closed if its last response is incomplete or the pool is full.
        If the peer then has too many, its longest idle one is closed.
        """
        if not connection.is_reusable or self._size >= _MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        idle = self._idle.setdefault(connection.peer, deque())
        idle.append((now, connection))
        self._size += 1
        if len(idle) > _MAX_IDLE_PER_PEER:
            self._size -= 1
            idle.popleft()[1].close()

    def close_unusable(self, now: float) -> None:
        """Close connections that were idle too long or closed by the peer."""
        for peer, idle in tuple(self._idle.items()):
            kept = deque(pair for pair in idle if _is_fresh(pair, now))
            for _, connection in idle:
                if all(connection is not other for _, other in kept):
                    connection.close()
            self._size += len(kept) - len(idle)
            self._idle[peer] = kept
            if not kept:
                self._idle.pop(peer)

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for _, connection in idle:
                connection.close()
        self._idle.clear()
        self._size = 0


def _is_fresh(pair: tuple[float, ClientConnection], now: float) -> bool:
    return now - pair[0] <= _MAX_IDLE_S and pair[1].is_reusable
