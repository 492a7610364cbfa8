"""The work of the control leader besides replicating the control state."""

import abc
from typing import TYPE_CHECKING

from persimmonhold.web import ExchangeHandler

if TYPE_CHECKING:
    from persimmonhold.control.shell import ControlNode


class LeaderWork(abc.ABC):
    """Work that runs on each control VM, with effects only on the leader."""

    @abc.abstractmethod
    def attach_node(self, node: 'ControlNode') -> ExchangeHandler:
        """Set the control node that `run` uses; return the operator handler."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Work until cancelled; returns at once if no node is attached."""
