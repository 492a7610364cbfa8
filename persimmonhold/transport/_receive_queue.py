"""Received messages that wait to be handled, in the order of their urgency.

A leader that is behind with the messages of many VMs would otherwise find the
replies of its voters behind them, and lose its term.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, final

from persimmonhold.transport._channel import Channel
from persimmonhold.transport._envelope import Envelope
from persimmonhold.transport._traffic_counters import TrafficCounters

# Handled as soon as they are received, before all that wait.
_URGENT: Final = frozenset((Channel.consensus, Channel.probe))
# The others have the loop for this long at once, then it reads and runs timers.
_SLICE_S: Final = 0.01
# Beyond this number or size, the oldest messages are dropped; senders repeat
# what counts.
_MAX_WAITING: Final = 1024
_MAX_WAITING_BYTES: Final = 16_777_216


@final
class ReceiveQueue:
    """Handles urgent messages at once, others in turns of the event loop.

    `is_behind` tells that messages were left over by the last turn.
    """

    __slots__ = (
        '_counters',
        '_handle',
        '_turn',
        '_waiting_bytes',
        'is_behind',
        'waiting',
    )

    def __init__(
        self, handle: Callable[[Envelope], None], counters: TrafficCounters
    ) -> None:
        """Create an empty queue whose messages are passed to `handle`."""
        self.waiting: deque[Envelope] = deque()
        self.is_behind = False
        self._waiting_bytes = 0
        self._handle = handle
        self._counters = counters
        self._turn: asyncio.Handle | None = None

    def add(self, envelope: Envelope) -> None:
        """Handle an urgent message, or have another one wait."""
        if envelope.channel in _URGENT:
            self._handle(envelope)
            return
        self.waiting.append(envelope)
        self._waiting_bytes += len(envelope.payload)
        while self._exceeds_bounds():
            self._take_next()
            self._counters.dropped_messages += 1
        self._request_turn()

    def close(self) -> None:
        """Drop the messages that wait."""
        self.waiting.clear()
        self._waiting_bytes = 0
        if self._turn is not None:
            self._turn.cancel()
            self._turn = None

    def _exceeds_bounds(self) -> bool:
        """Return whether too much waits; one message alone never does."""
        count = len(self.waiting)
        return count > _MAX_WAITING or (
            count > 1 and self._waiting_bytes > _MAX_WAITING_BYTES
        )

    def _take_next(self) -> Envelope:
        envelope = self.waiting.popleft()
        self._waiting_bytes -= len(envelope.payload)
        return envelope

    def _request_turn(self) -> None:
        if self._turn is None and self.waiting:
            loop = asyncio.get_running_loop()
            self._turn = loop.call_soon(self._take_turn)

    def _take_turn(self) -> None:
        """Handle messages that wait, for a limited time."""
        self._turn = None
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + _SLICE_S
        try:
            while self.waiting and loop.time() < ends_at:
                self._handle(self._take_next())
        finally:
            self.is_behind = bool(self.waiting)
            self._request_turn()
