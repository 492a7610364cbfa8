"""The replicated state.

Invariant: the state depends only on the sequence of applied commands.
"""

from typing import final

from persimmonhold.catalogue import Catalogue
from persimmonhold.control.machine._claim_table import ClaimTable
from persimmonhold.control.machine._command_table import CommandTable
from persimmonhold.control.machine._history_record import HistoryRecord
from persimmonhold.control.machine._state_machine_limits import (
    StateMachineLimits,
)
from persimmonhold.control.machine._view_state import CopyKey, ViewState
from persimmonhold.messages import Copy, Order, VmRecord
from persimmonhold.streams import StreamRecord


@final
class ControlState:
    """The replicated control state: catalogue, orders, claims and VMs.

    `clock_ms` follows the latest time of any applied command, by at most
    `max_clock_step_ms` per command. Retention periods are measured by it, so
    that all replicas expire the same items. `fleet_controller` is the VM that
    was last recorded as issuing orders to upstreams, or empty. `streams` may
    be empty although changes of it were applied: an earlier build that wrote a
    snapshot has ignored them.
    """

    __slots__ = (
        'claims',
        'clock_ms',
        'commands',
        'fleet_controller',
        'history',
        'index',
        'orders',
        'streams',
        'view',
    )

    def __init__(self, limits: StateMachineLimits) -> None:
        """Create an empty state."""
        self.index = 0
        self.clock_ms = 0
        self.fleet_controller = ''
        self.view = ViewState(limits.change_log_length)
        self.history: list[HistoryRecord] = []
        self.commands = CommandTable(limits)
        self.orders: dict[int, Order] = {}
        self.claims = ClaimTable(limits)
        self.streams = StreamRecord()

    @property
    def catalogue(self) -> Catalogue:
        """The current catalogue."""
        return self.view.catalogue

    @property
    def copies(self) -> dict[CopyKey, Copy]:
        """The copies by target, version, upstream and accelerator."""
        return self.view.copies

    @property
    def vms(self) -> dict[str, VmRecord]:
        """The registered VMs by name."""
        return self.view.vms
