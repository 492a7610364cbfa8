"""Shares the event loop between connections whose input is long to parse.

A peer may send a body in chunks of one byte, without end; the parser needs some
10 us for each of them. A connection parses a bounded number of events at once.
What is left waits for a turn; one connection has a turn at a time, so all of
them together take a bounded share of the loop's time.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, final
from weakref import WeakKeyDictionary

# Usual reads have fewer events; 64 take about 1 ms.
MAX_EVENTS_PER_TURN: Final = 64
_TURN_INTERVAL_S: Final = 0.004


@final
class ParseTurns:
    """Calls waiting connections back, one per interval, in order."""

    __slots__ = ('_is_scheduled', '_waiting')

    def __init__(self) -> None:
        """Create the turns of an event loop."""
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def request_turn(self, callback: Callable[[], None]) -> None:
        """Have `callback` called when it is its turn."""
        self._waiting.append(callback)
        if not self._is_scheduled:
            self._schedule()

    def _schedule(self) -> None:
        self._is_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(_TURN_INTERVAL_S, self._take_turn)

    def _take_turn(self) -> None:
        self._is_scheduled = False
        self._waiting.popleft()()
        if self._waiting and not self._is_scheduled:
            self._schedule()


_turns_by_loop: Final[
    WeakKeyDictionary[asyncio.AbstractEventLoop, ParseTurns]
] = WeakKeyDictionary()


@final
class ParseTurn:
    """The place of one connection in the turns; nothing is read meanwhile."""

    __slots__ = ('_is_requested', '_on_turn')

    def __init__(self, on_turn: Callable[[], None]) -> None:
        """Create the place of a connection that parses on in `on_turn`."""
        self._on_turn = on_turn
        self._is_requested = False

    def request(self, transport: asyncio.Transport | None) -> None:
        """Pause reading, and have `on_turn` called in a later turn.

        `on_turn` resumes reading. Repeated requests have no effect.
        """
        if self._is_requested:
            return
        self._is_requested = True
        if transport is not None:
            transport.pause_reading()
        loop = asyncio.get_running_loop()
        turns = _turns_by_loop.get(loop)
        if turns is None:
            turns = ParseTurns()
            _turns_by_loop[loop] = turns
        turns.request_turn(self._take)

    def _take(self) -> None:
        self._is_requested = False
        self._on_turn()
