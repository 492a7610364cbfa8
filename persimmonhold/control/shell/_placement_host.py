"""The interface of the control replica that placement runs on."""

import abc

from returns.result import Result

from persimmonhold.control.machine import (
    Command,
    CommandResult,
    ControlState,
)
from persimmonhold.failures import Failure
from persimmonhold.messages import Demand


class PlacementHost(abc.ABC):
    """The control replica as used by placement."""

    @property
    @abc.abstractmethod
    def is_leader(self) -> bool:
        """Whether this replica leads with a valid lease and may send orders."""

    @property
    def term(self) -> int:
        """The consensus term of the log; it increases with each leadership."""
        return 0

    @property
    @abc.abstractmethod
    def state(self) -> ControlState:
        """The applied state."""

    @abc.abstractmethod
    async def propose(
        self,
        command: Command,
    ) -> Result[CommandResult, Failure]:
        """Commit a command and return its result."""

    @abc.abstractmethod
    def now_ms(self) -> int:
        """Return the wall-clock time for commands, in milliseconds."""

    @abc.abstractmethod
    def demand(self) -> tuple[Demand, ...]:
        """Return the demand of all entries, summed per target."""

    @abc.abstractmethod
    def is_in_force(self, index: int) -> bool:
        """Return whether no entry can still serve a view older than `index`."""
