"""What the leader of control does besides answering.

It renews the proof that control has nothing newer, and removes VMs that
nobody has had proof of for `dead_after_s`.
"""

import asyncio
import math
from typing import Final, final

from returns.result import Failure as Failed

from persimmonhold.control.machine import RegisterVm
from persimmonhold.control.shell._control_node import ControlNode
from persimmonhold.control.shell._vm_shell import VmShell

_ROUND_S: Final = 0.2
_ELECTED_S: Final = 0.05  # until an election is noticed and announced


@final
class LeaderDuties:
    """Runs on every control VM and acts while it leads."""

    __slots__ = ('_announced', '_node', '_seen_at', '_vm')

    def __init__(self, node: ControlNode, vm: VmShell) -> None:
        """Create the duties of a node."""
        self._node = node
        self._vm = vm
        self._announced = False
        self._seen_at: dict[str, float] = {}

    async def run(self) -> None:
        """Act in rounds until cancelled."""
        while True:
            await self.act()
            await asyncio.sleep(_ROUND_S if self._announced else _ELECTED_S)

    async def act(self) -> None:
        """Perform one round."""
        if not self._node.leads:
            self._seen_at.clear()
            self._announced = False
            return
        asked_at = self._vm.clock()
        barrier = await self._node.read_barrier()
        if isinstance(barrier, Failed):
            return
        self._node.feed_vm()
        self._vm.prove_control(asked_at, self._node.state.view.index)
        if not self._announced:
            self._announced = True
            self._vm.announce_leader()
        await self._remove_dead(asked_at)

    async def _remove_dead(self, now: float) -> None:
        dead_after_s = self._vm.timings.removal_timeout_s
        self._node.reports.forget_others(self._node.state.vms)
        for vm in tuple(self._node.state.vms.values()):
            if now - self._last_seen(vm.name, now) > dead_after_s:
                command = RegisterVm(
                    at_ms=self._node.now_ms(),
                    vm=vm,
                    gone=True,
                )
                await self._node.propose(command)
                self._seen_at.pop(vm.name, None)

    def _last_seen(self, name: str, now: float) -> float:
        """Return when a VM lived; for a new leader, at least its start."""
        if name == self._vm.record.name:
            return now
        proven_at = self._vm.agent.proofs.vms_proven_at.get(name, -math.inf)
        reported = self._node.reports.reports.get(name)
        reported_at = reported[0] if reported else -math.inf
        since = self._seen_at.setdefault(name, now)
        return max(proven_at, reported_at, since)
