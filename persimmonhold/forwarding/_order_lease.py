"""Ensures by a lease that only one VM at a time issues orders to upstreams.

The control log names the fleet controller: the VM that issued the newest
orders. That VM continues at once when it leads again. Any other VM waits
until the lease has expired, and records itself in the log before its first
order. While it waits, it hands leadership back to the named VM if that VM
returns, since a process starts in less time than the lease. It keeps the
leadership if the lease expires before the named VM would be ready.
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

_LogOperation: TypeAlias = Callable[[], Awaitable[Result[Any, Failure]]]
# Added to the lease: an order sent just before its end times out after 0.25 s.
_LEASE_MARGIN_S: Final = 0.4
_RETRY_INTERVAL_S: Final = 0.05  # a commit takes a few ms
_POLL_INTERVAL_S: Final = 0.1  # a VM that starts is seen within one heartbeat
# Leadership is handed back only after this time: by then a VM that stops as
# planned no longer answers, so that leadership does not return to it.
_HAND_BACK_AFTER_S: Final = 0.7
# Time in which a new leader learns the fleet: it receives a report from each
# entry and lets the slots of brittle upstreams settle.
_CONTROLLER_START_S: Final = 1.0
# Minimum time between two hand-backs, so that a VM that fails repeatedly leads
# less often.
_HAND_BACK_INTERVAL_S: Final = 10.0


@final
class OrderLease:
    """Acquires the right to issue orders in each term that this VM leads."""

    __slots__ = ('clock', 'handed_back_at', 'lease_s', 'node')

    def __init__(
        self,
        node: ControlNode,
        lease_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Create a lease; `lease_s` must pass between two VMs' orders."""
        self.node = node
        self.lease_s = lease_s
        self.clock = clock
        self.handed_back_at = float('-inf')

    @property
    def vm_name(self) -> str:
        """The name of this VM, or empty in a system of one VM."""
        return self.node.vm.record.name if self.node.vm else ''

    def compute_latest_start(self) -> float:
        """Return the latest start of orders in a term that begins now."""
        return self.clock() + self.lease_s + _LEASE_MARGIN_S

    async def acquire(self, term: int, latest_start_at: float) -> bool:
        """Return True once this VM may issue orders in a term.

        `latest_start_at` is what `compute_latest_start` returned when the
        term began. Returns False if the term has ended: another VM may have
        issued orders since.
        """
        began_at = self.clock()
        if not await self._retry_until_done(term, self.node.read_barrier):
            return False
        last_controller = self.node.state.fleet_controller
        if last_controller != self.vm_name:
            await self._wait_for_expiry(
                last_controller, began_at, latest_start_at
            )
            if not await self._retry_until_done(term, self._record_controller):
                return False
        log_event(
            'order_turn',
            term=term,
            last_giver=last_controller,
            waited_s=round(self.clock() - began_at, 3),
        )
        return True

    async def _retry_until_done(self, term: int, step: _LogOperation) -> bool:
        """Retry a log operation until it succeeds or the term has ended."""
        while self.node.term == term:
            if not isinstance(await step(), Failed):
                return True
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return False

    async def _record_controller(self) -> Result[CommandResult, Failure]:
        """Record this VM in the log as the fleet controller."""
        command = RecordFleetController(
            at_ms=self.node.now_ms(), vm=self.vm_name
        )
        return await self.node.propose(command)

    async def _wait_for_expiry(
        self,
        last_controller: str,
        began_at: float,
        latest_start_at: float,
    ) -> None:
        """Wait until another VM's lease has expired.

        Meanwhile, tries to hand leadership back to that VM.
        """
        while self.clock() < latest_start_at:
            await asyncio.sleep(
                min(_POLL_INTERVAL_S, max(0, latest_start_at - self.clock()))
            )
            now = self.clock()
            is_early = now < began_at + _HAND_BACK_AFTER_S
            is_late = now > latest_start_at - _CONTROLLER_START_S
            is_repeated = now < self.handed_back_at + _HAND_BACK_INTERVAL_S
            if last_controller and not (is_early or is_late or is_repeated):
                await self._hand_back_leadership(last_controller)

    async def _hand_back_leadership(self, last_controller: str) -> None:
        """Transfer control leadership to the VM that issued the last orders."""
        transferred = await self.node.log.transfer_leadership(last_controller)
        if not isinstance(transferred, Failed):
            self.handed_back_at = self.clock()
            log_event('leadership_handed_back', to=last_controller)
