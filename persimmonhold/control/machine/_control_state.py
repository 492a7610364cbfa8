"""The replicated state.

Invariant: the state is a function of the commands applied, in their order.
"""

from typing import final

from persimmonhold.catalogue import Catalogue
from persimmonhold.control.machine._claim import Claim
from persimmonhold.control.machine._history_record import HistoryRecord
from persimmonhold.control.machine._operator_command import OperatorCommand
from persimmonhold.messages import Copy, Order, VmRecord


@final
class ControlState:
    """Catalogue, history, command results, orders, copies, claims, VMs."""

    __slots__ = (
        'catalogue',
        'claims',
        'commands',
        'copies',
        'history',
        'index',
        'orders',
        'vms',
    )

    def __init__(self) -> None:
        """Create the state before the first command."""
        self.index = 0
        self.catalogue = Catalogue()
        self.history: list[HistoryRecord] = []
        self.commands: dict[tuple[str, str], OperatorCommand] = {}
        self.orders: dict[int, Order] = {}
        self.copies: dict[tuple[str, str, str, str], Copy] = {}
        self.claims: dict[tuple[str, str, str], Claim] = {}
        self.vms: dict[str, VmRecord] = {}
