"""Pool of open connections to upstreams.

Invariant: a connection is reused only if its last response was complete,
nothing has arrived on it since, it was idle no longer than `find_idle_limit_s`
allows for the request, and it has not carried that request before. For a request
that is not repeatable, it has also been used since the peer was last found silent:
a peer that is gone without a reset leaves its connections open, while a new one fails
before anything is written.
"""

from collections import deque
from typing import Final, TypeAlias, final

from persimmonhold.upstreams._idle_limit import find_idle_limit_s
from persimmonhold.web import Address, ClientConnection

_MAX_IDLE_PER_PEER: Final = 16
_MAX_IDLE_CONNECTIONS: Final = 512
# For longer, no connection is idle and given a request that is not repeatable.
_MAX_SILENCE_S: Final = 15.0
_IdleConnections: TypeAlias = deque[tuple[float, ClientConnection]]


@final
class ConnectionPool:
    """Keeps idle connections; reuses the most recently used of a peer first.

    At most `max_idle_per_peer` are kept for each peer.
    """

    __slots__ = ('_idle', '_silent_since', '_size', 'max_idle_per_peer')

    def __init__(self) -> None:
        """Create an empty pool."""
        self._idle: dict[Address, _IdleConnections] = {}
        self._silent_since: dict[Address, float] = {}
        self._size = 0
        self.max_idle_per_peer = _MAX_IDLE_PER_PEER

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return self._size

    def limit_idle(self, max_idle_per_peer: int) -> None:
        """Keep at most so many idle connections a peer from now on."""
        self.max_idle_per_peer = min(_MAX_IDLE_PER_PEER, max_idle_per_peer)

    def acquire(
        self,
        peer: Address,
        now: float,
        *,
        is_repeatable: bool = True,
        request_id: str = '',
    ) -> ClientConnection | None:
        """Remove and return an idle connection to `peer`, or return None.

        Unusable connections that are found on the way are closed. None is
        returned if the request is not repeatable and all that are left were
        idle for too long for it or since the peer was found silent, or have
        carried it before.
        """
        idle = self._idle.get(peer)
        if idle is None:
            return None
        for pair in reversed(tuple(idle)):
            if not _is_fresh(pair, now):
                self._remove(idle, pair).close()
            elif request_id not in pair[1].carried_ids:
                if is_repeatable or self._is_trusted(pair, now):
                    return self._remove(idle, pair)
                return None
        return None

    def record_silence(self, peer: Address, sent_at: float, now: float) -> None:
        """Record that a peer has not responded in time to a request sent then.

        Dropped once no connection that was idle before can be left.
        """
        latest = max(sent_at, self._silent_since.get(peer, sent_at))
        silent = {**self._silent_since, peer: latest}
        self._silent_since = {
            address: since
            for address, since in silent.items()
            if now - since <= _MAX_SILENCE_S
        }

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
        if len(idle) > self.max_idle_per_peer:
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

    def _is_trusted(
        self, pair: tuple[float, ClientConnection], now: float
    ) -> bool:
        """Whether a request that is not repeatable may use a connection."""
        since, connection = pair
        if since < self._silent_since.get(connection.peer, since):
            return False
        return _is_fresh(pair, now, is_repeatable=False)

    def _remove(
        self, idle: _IdleConnections, pair: tuple[float, ClientConnection]
    ) -> ClientConnection:
        idle.remove(pair)
        self._size -= 1
        return pair[1]


def _is_fresh(
    pair: tuple[float, ClientConnection],
    now: float,
    *,
    is_repeatable: bool = True,
) -> bool:
    since, connection = pair
    limit_s = find_idle_limit_s(
        connection.stated_idle_s, is_repeatable=is_repeatable
    )
    return now - since <= limit_s and connection.is_reusable
