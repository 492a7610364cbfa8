"""A control replica: the synced log and the state machine.

Invariant: a command is applied, and answered, only after it is synced.
"""

import asyncio
import time
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Final, Self, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.control.machine import (
    Command,
    CommandResult,
    ControlMachine,
    ControlState,
)
from persimmonhold.control.shell._placement_host import PlacementHost
from persimmonhold.failures import Failure
from persimmonhold.messages import ControlView, Demand
from persimmonhold.storage import RecordFile

_LOG_FILE: Final = 'control.log'
_MS_PER_S: Final = 1000


@final
class ControlNode(PlacementHost):
    """Owns the data folder of one control VM."""

    __slots__ = ('_decoder', '_log', '_stack', 'changed', 'machine', 'reported')

    def __init__(self, directory: Path) -> None:
        """Create a replica whose state lives under `directory`."""
        self.machine = ControlMachine()
        self.changed = asyncio.Event()
        self.reported: tuple[Demand, ...] = ()
        self._log = RecordFile(directory / _LOG_FILE)
        self._stack = ExitStack()
        self._decoder = msgspec.msgpack.Decoder(Command)

    def __enter__(self) -> Self:
        """Open the log; raises `OSError` where it cannot be written."""
        self._log.path.parent.mkdir(parents=True, exist_ok=True)
        self._stack.enter_context(self._log)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the log."""
        self._stack.close()

    def recover(self) -> Result[int, Failure]:
        """Apply the log; return the index of its last command."""
        records = self._log.read()
        if isinstance(records, Failed):
            return records
        for record in records.unwrap():
            self._apply(self._decoder.decode(record))
        return Success(self.machine.state.index)

    async def propose(
        self,
        command: Command,
    ) -> Result[CommandResult, Failure]:
        """Commit a command and return its result."""
        self._log.append((msgspec.msgpack.encode(command),))
        return Success(self._apply(command))

    def view(self) -> ControlView:
        """Return the view at the last applied command."""
        return self.machine.view()

    @property
    def leads(self) -> bool:
        """Tell whether this replica leads; a single one always does."""
        return True

    @property
    def state(self) -> ControlState:
        """The applied state."""
        return self.machine.state

    def demand(self) -> tuple[Demand, ...]:
        """Return the reported demand."""
        return self.reported

    def is_in_force(self, index: int) -> bool:
        """Tell whether entries follow; in one process they always do."""
        return index <= self.machine.state.index

    def now_ms(self) -> int:
        """Return the time that goes into commands."""
        return int(time.time() * _MS_PER_S)

    def _apply(self, command: Command) -> CommandResult:
        index = self.machine.state.index + 1
        result = self.machine.apply(index, command)
        self.changed.set()
        return result
