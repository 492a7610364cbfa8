"""An event loop in virtual time, for systems without external events.

Sockets between tasks of the loop are not external: what one task has written
is read by the other before the clock advances.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, Final, TypeVar, final

_ResultT = TypeVar('_ResultT')
_START_TIME_S: Final = 1000.0


@final
class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the virtual clock to the next timer instead of waiting."""

    def __init__(self, loop: 'VirtualTimeLoop') -> None:
        super().__init__()
        self._loop = loop

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll without waiting; advance the clock if nothing is ready."""
        ready = super().select(0)
        if ready or not timeout:
            return ready
        self._loop.now += timeout
        return super().select(0)


@final
class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock does not advance while callbacks run."""

    def __init__(self) -> None:
        """Create a loop whose clock starts at 1000 s, not at zero."""
        self.now = _START_TIME_S
        super().__init__(_VirtualTimeSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now


def run_in_virtual_time(main: Coroutine[Any, Any, _ResultT]) -> _ResultT:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
