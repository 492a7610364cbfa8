"""What placement asks of the control replica that it runs on."""

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
    """The leading control replica, as placement sees it."""

    @property
    @abc.abstractmethod
    def is_leader(self) -> bool:
        """Tell whether orders may be sent: leader with a valid lease."""

    @property
    def term(self) -> int:
        """The number of the present leadership; it rises with each one."""
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
        """Return the time that goes into commands, in milliseconds."""

    @abc.abstractmethod
    def demand(self) -> tuple[Demand, ...]:
        """Return the demand of all entries, summed by target."""

    @abc.abstractmethod
    def is_in_force(self, index: int) -> bool:
        """Tell whether every live entry has a view of at least `index`."""
