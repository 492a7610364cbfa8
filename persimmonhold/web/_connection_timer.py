"""Single-shot timer of a connection."""

import asyncio
from collections.abc import Callable
from typing import final


@final
class ConnectionTimer:
    """Calls a function once after a delay; a new start replaces the last."""

    __slots__ = ('_handle',)

    def __init__(self) -> None:
        """Create a timer that is not running."""
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Whether a callback was scheduled and not stopped since.

        Stays True after the callback has run.
        """
        return self._handle is not None

    def start(self, timeout_s: float, on_expiry: Callable[[], None]) -> None:
        """Call `on_expiry` after `timeout_s`."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(timeout_s, on_expiry)

    def stop(self) -> None:
        """Cancel the scheduled callback, if any."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
