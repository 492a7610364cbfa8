"""Waits until the orders of a term cannot mix with those of another VM.

The log names the VM that gave the newest orders. That VM goes on at once when
it leads again. Any other one waits out the lease of orders, and is named in
the log before its first order. While it waits, it hands leadership back to
the VM that is named, should that one return: a start of a process takes less
time than the lease.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeAlias, final

from returns.result import Failure as Failed
from returns.result import Result

from persimmonhold.control.machine import CommandResult, RecordFleetController
from persimmonhold.control.shell import ControlNode
from persimmonhold.failures import Failure
from persimmonhold.observability import log_event

_Step: TypeAlias = Callable[[], Awaitable[Result[Any, Failure]]]
_LEASE_MARGIN_S: Final = 0.4  # an order is given up after 0.25 s
_RETRY_S: Final = 0.05  # a commit takes a few ms
_POLL_S: Final = 0.1  # a VM that starts is heard of within a heartbeat
# A VM that stops as planned is silent by then, and is not handed back to.
_HAND_BACK_AFTER_S: Final = 0.7
_HAND_BACK_PAUSE_S: Final = 10.0  # a VM that fails again and again leads less


@final
class OrderLease:
    """The turns of one VM to give orders, one in each term that it leads."""

    __slots__ = ('clock', 'handed_back_at', 'lease_s', 'node')

    def __init__(
        self,
        node: ControlNode,
        lease_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Create the turns; `lease_s` has to pass between two VMs' orders."""
        self.node = node
        self.lease_s = lease_s
        self.clock = clock
        self.handed_back_at = float('-inf')

    @property
    def name(self) -> str:
        """The name of this VM, or empty in a system of one VM."""
        return self.node.vm.record.name if self.node.vm else ''

    def compute_latest_start(self) -> float:
        """Return by when a term that begins now gives orders at the latest."""
        return self.clock() + self.lease_s + _LEASE_MARGIN_S

    async def acquire(self, term: int, latest_start_at: float) -> bool:
        """Return True once orders of this VM may begin in a term.

        `latest` is what `expected_at` told when the term began. Returns False
        where the term is over: another VM may have given orders since.
        """
        began_at = self.clock()
        if not await self._until_done(term, self.node.read_barrier):
            return False
        giver = self.node.state.fleet_controller
        if giver != self.name:
            await self._wait_for_lease(giver, began_at, latest_start_at)
            if not await self._until_done(term, self._record):
                return False
        log_event(
            'order_turn',
            term=term,
            last_giver=giver,
            waited_s=round(self.clock() - began_at, 3),
        )
        return True

    async def _until_done(self, term: int, step: _Step) -> bool:
        """Repeat a step of the log until it is done, or the term is over."""
        while self.node.term == term:
            if not isinstance(await step(), Failed):
                return True
            await asyncio.sleep(_RETRY_S)
        return False

    async def _record(self) -> Result[CommandResult, Failure]:
        """Have this VM named in the log."""
        command = RecordFleetController(at_ms=self.node.now_ms(), vm=self.name)
        return await self.node.propose(command)

    async def _wait_for_lease(
        self,
        giver: str,
        began_at: float,
        latest: float,
    ) -> None:
        """Wait for the end of the lease of another VM, or for its return."""
        while self.clock() < latest:
            await asyncio.sleep(min(_POLL_S, max(0, latest - self.clock())))
            now = self.clock()
            is_early = now < began_at + _HAND_BACK_AFTER_S
            is_repeated = now < self.handed_back_at + _HAND_BACK_PAUSE_S
            if giver and not is_early and not is_repeated:
                await self._hand_back(giver)

    async def _hand_back(self, giver: str) -> None:
        handed = await self.node.log.transfer_leadership(giver)
        if not isinstance(handed, Failed):
            self.handed_back_at = self.clock()
            log_event('leadership_handed_back', to=giver)
