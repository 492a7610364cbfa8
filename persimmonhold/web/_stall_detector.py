"""Detection of an upstream that stops sending."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Final, Self, final

from persimmonhold.web._client_connection import ClientConnection

# With 4 checks, a stall is detected at most a quarter of the time-out late.
_CHECKS_PER_TIMEOUT: Final = 4


@final
class StallDetector:
    """Calls a function if no bytes were read for `timeout_s`.

    It is called again at intervals as long as it returns True.

    Unless `counts_reads`, bytes that arrive do not end a stall.

    Time during which reading is paused, because the caller reads slowly,
    does not count. A late loop reads what has arrived before the time by
    which it is late counts.
    """

    __slots__ = (
        '_connection',
        '_counts_reads',
        '_due_at',
        '_handle',
        '_on_stall',
        '_started_at',
        '_timeout_s',
    )

    def __init__(
        self,
        connection: ClientConnection,
        timeout_s: float,
        on_stall: Callable[[], bool | None],
        *,
        counts_reads: bool = True,
    ) -> None:
        """Create a detector; with a `timeout_s` of 0 it never calls back."""
        self._connection = connection
        self._timeout_s = timeout_s
        self._on_stall = on_stall
        self._counts_reads = counts_reads
        self._started_at = 0.0
        self._due_at = 0.0
        self._handle: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        """Start monitoring."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        self._connection.last_read_at = self._started_at
        if self._timeout_s:
            self._schedule()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop monitoring."""
        if self._handle is not None:
            self._handle.cancel()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._due_at = loop.time() + self._timeout_s / _CHECKS_PER_TIMEOUT
        self._handle = loop.call_at(self._due_at, self._check)

    def _check(self) -> None:
        connection = self._connection
        since = connection.last_read_at
        if not self._counts_reads and since < self._due_at:
            since = self._started_at
        is_stalled = (
            self._due_at - since >= self._timeout_s
            and not connection.is_reading_paused
        )
        if not is_stalled or self._on_stall():
            self._schedule()
