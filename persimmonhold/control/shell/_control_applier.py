"""Connects the state machine to a replicated log."""

from collections.abc import Callable
from typing import final

import msgspec

from persimmonhold.control.machine import (
    Command,
    CommandResult,
    ControlStateMachine,
)
from persimmonhold.replication import LogApplier


@final
class ControlApplier(LogApplier):
    """Applies the payloads of the log, and notifies listeners after each."""

    __slots__ = ('_decoder', '_encoder', '_listeners', 'machine')

    def __init__(self, machine: ControlStateMachine) -> None:
        """Create an applier for a state machine."""
        self.machine = machine
        self._decoder = msgspec.msgpack.Decoder(Command)
        self._encoder = msgspec.msgpack.Encoder()
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each applied command or restored snapshot."""
        self._listeners.append(listener)

    def encode(self, command: Command) -> bytes:
        """Return the payload of a command."""
        return self._encoder.encode(command)

    def apply(self, index: int, payload: bytes) -> CommandResult:
        """Apply a committed payload and return the result of its command."""
        applied = self.machine.apply(index, self._decoder.decode(payload))
        self._notify()
        return applied

    def encode_state(self) -> bytes:
        """Return the encoded state."""
        return self.machine.snapshot()

    def restore(self, index: int, state: bytes) -> None:
        """Replace the state with that of a snapshot."""
        self.machine.restore(state)
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
