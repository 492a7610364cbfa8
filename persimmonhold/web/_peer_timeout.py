"""Time-out of waiting for a peer."""

import asyncio
from types import TracebackType
from typing import Final, Self, final

_LATE_S: Final = 0.001  # a timer that fires later than this is late
_MIN_EXTENSION_S: Final = 0.01  # a connection takes several turns of the loop
_MAX_EXTENSION: Final = 0.25  # part of the time-out
_MAX_EXTENSION_COUNT: Final = 2  # the loop may be late again


@final
class PeerTimeout:
    """Raises `TimeoutError` unless its block ends within `timeout_s`.

    A late loop may find the timer due before it has read what the peer sent in
    time. The block is then continued for as long as the loop was late, but for
    at most half of `timeout_s` in all.
    """

    __slots__ = ('due_at', 'extensions_left', 'timeout', 'timeout_s', 'timer')

    def __init__(self, timeout_s: float | None) -> None:
        """Create a time-out; None means no limit."""
        self.timeout_s = timeout_s
        self.timeout = asyncio.timeout(None)
        self.timer: asyncio.TimerHandle | None = None
        self.due_at = 0.0
        self.extensions_left = _MAX_EXTENSION_COUNT

    async def __aenter__(self) -> Self:
        """Start the time-out."""
        await self.timeout.__aenter__()
        if self.timeout_s is not None:
            self._schedule(self.timeout_s)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the time-out; raise `TimeoutError` if it has expired."""
        if self.timer is not None:
            self.timer.cancel()
        await self.timeout.__aexit__(exc_type, exc, traceback)

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self.due_at = loop.time() + delay_s
        self.timer = loop.call_at(self.due_at, self._expire)

    def _expire(self) -> None:
        """Cancel the block, or extend its time if the timer was late."""
        now = asyncio.get_running_loop().time()
        late_s = now - self.due_at
        if late_s > _LATE_S and self.extensions_left and self.timeout_s:
            self.extensions_left -= 1
            longest_s = self.timeout_s * _MAX_EXTENSION
            self._schedule(min(max(late_s, _MIN_EXTENSION_S), longest_s))
        else:
            self.timeout.reschedule(now)
