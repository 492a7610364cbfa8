"""Time-out of waiting for a peer."""

import asyncio
from types import TracebackType
from typing import Final, Self, final

_LATE_S: Final = 0.001  # a timer that fires later than this is late
# Part of the time-out by which it is extended after a late timer.
_EXTENSION: Final = 0.25
_MAX_EXTENSIONS: Final = 2  # the loop may be late again


@final
class PeerTimeout:
    """Raises `TimeoutError` unless its block ends within `timeout_s`.

    A late loop may find the timer due before it has read what the peer sent in
    time. The block is then continued, so it takes at most half of `timeout_s`
    longer, besides the time that the loop is late.
    """

    __slots__ = ('due_at', 'extensions_left', 'timeout', 'timeout_s', 'timer')

    def __init__(self, timeout_s: float | None) -> None:
        """Create a time-out; None means no limit."""
        self.timeout_s = timeout_s
        self.timeout = asyncio.timeout(None)
        self.timer: asyncio.TimerHandle | None = None
        self.due_at = 0.0
        self.extensions_left = _MAX_EXTENSIONS

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
        is_late = now - self.due_at > _LATE_S
        if is_late and self.extensions_left and self.timeout_s:
            self.extensions_left -= 1
            self._schedule(self.timeout_s * _EXTENSION)
        else:
            self.timeout.reschedule(now)
