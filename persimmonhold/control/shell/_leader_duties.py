"""Periodic work of the control leader.

The leader regularly proves that the view of its VM is the newest committed
view; VMs may serve callers from a view only while its proof is recent. The
leader also removes VMs that it has not known to be alive for
`removal_timeout_s`. A removal may have to wait for other VMs, which must not
delay the proofs.
"""

import asyncio
from typing import Final, final

from returns.result import Failure as Failed

from persimmonhold.control.machine import RegisterVm
from persimmonhold.control.shell._control_node import ControlNode
from persimmonhold.control.shell._vm_agent_runner import VmAgentRunner
from persimmonhold.membership import majority_size
from persimmonhold.messages import VmRecord
from persimmonhold.observability import log_event

_ROUND_INTERVAL_S: Final = 0.2
# Bounds the delay between an election and its announcement.
_ELECTION_POLL_INTERVAL_S: Final = 0.05


@final
class LeaderDuties:
    """The periodic work, run on each control VM; idle unless it leads."""

    __slots__ = ('_is_leadership_announced', '_node', '_vm')

    def __init__(self, node: ControlNode, vm: VmAgentRunner) -> None:
        """Create the periodic work of a control replica on a VM."""
        self._node = node
        self._vm = vm
        self._is_leadership_announced = False

    async def run(self) -> None:
        """Run the periodic work until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_observations())
            group.create_task(self._run_removals())
            while True:
                await self._prove_and_announce()
                await asyncio.sleep(
                    _ROUND_INTERVAL_S
                    if self._is_leadership_announced
                    else _ELECTION_POLL_INTERVAL_S
                )

    async def _prove_and_announce(self) -> None:
        """Renew the proof of control, and announce a new leadership."""
        if not self._node.is_leader:
            self._is_leadership_announced = False
            return
        started_at = self._vm.clock()
        barrier = await self._node.read_barrier()
        if isinstance(barrier, Failed):
            return
        self._node.publish_view()
        self._vm.record_control_proof(started_at, self._node.state.view.index)
        if not self._is_leadership_announced:
            self._is_leadership_announced = True
            self._vm.announce_leader()

    async def _run_observations(self) -> None:
        """Observe the other VMs in each round, also while one is removed."""
        while True:
            acceptance = self._node.acceptance
            if self._node.is_leader and acceptance is not None:
                acceptance.liveness.observe(self._node.term, self._vm.clock())
            await asyncio.sleep(_ROUND_INTERVAL_S)

    async def _run_removals(self) -> None:
        """Remove VMs that are silent for too long, until cancelled.

        A removal may take seconds, so the next VM is looked at again after it.
        """
        while True:
            if self._node.is_leader:
                self._node.report_tracker.retain_vms(self._node.state.vms)
                for dead in self._find_dead_vms():
                    if dead in self._find_dead_vms() and self._node.is_leader:
                        await self._remove_vm(dead)
            await asyncio.sleep(_ROUND_INTERVAL_S)

    def _find_dead_vms(self) -> list[VmRecord]:
        """Return the VMs that have been silent for too long.

        A new leader waits for the whole timeout before it removes a VM.
        """
        acceptance = self._node.acceptance
        if acceptance is None:
            return []
        now = self._vm.clock()
        acceptance.liveness.observe(self._node.term, now)
        registered = tuple(self._node.state.vms.values())
        silence_s = {
            vm.name: acceptance.liveness.silence_s(vm.name, now)
            for vm in registered
            if vm.name != self._vm.record.name
        }
        timings = self._vm.timings
        timeout_s = timings.removal_timeout_s
        silent = sum(one > timeout_s for one in silence_s.values())
        if silent >= majority_size(len(registered)):
            timeout_s = timings.mass_removal_timeout_s
        return [
            vm for vm in registered if silence_s.get(vm.name, 0) > timeout_s
        ]

    async def _remove_vm(self, vm: VmRecord) -> None:
        """Remove a silent VM; if that fails, a later round tries again."""
        command = RegisterVm(at_ms=self._node.now_ms(), vm=vm, gone=True)
        removed = await self._node.propose(command)
        if isinstance(removed, Failed):
            log_event(
                'vm_not_removed',
                silent_vm=vm.name,
                failure=removed.failure().describe(),
            )
        elif self._node.acceptance is not None:
            self._node.acceptance.liveness.forget_vm(vm.name)
