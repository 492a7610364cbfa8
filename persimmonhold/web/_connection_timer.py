"""The one timer of a connection."""

import asyncio
from collections.abc import Callable
from typing import final


@final
class ConnectionTimer:
    """Calls back once after a time; a new start replaces the last one."""

    __slots__ = ('_handle',)

    def __init__(self) -> None:
        """Create a timer that is not running."""
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Tell whether a call is to come."""
        return self._handle is not None

    def start(self, timeout_s: float, on_expiry: Callable[[], None]) -> None:
        """Call `expired` after `timeout_s`."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(timeout_s, on_expiry)

    def stop(self) -> None:
        """Call nothing."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
