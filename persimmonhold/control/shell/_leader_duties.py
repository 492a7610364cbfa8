"""Periodic work of the control leader.

The leader regularly proves that the view of its VM is the newest committed
view; VMs may serve callers from a view only while its proof is recent. The
leader also removes VMs that it has not known to be alive for
`removal_timeout_s`.
"""

import asyncio
import math
from typing import Final, final

from returns.result import Failure as Failed

from persimmonhold.control.machine import RegisterVm
from persimmonhold.control.shell._control_node import ControlNode
from persimmonhold.control.shell._vm_agent_runner import VmAgentRunner

_ROUND_INTERVAL_S: Final = 0.2
# Bounds the delay between an election and its announcement.
_ELECTION_POLL_INTERVAL_S: Final = 0.05


@final
class LeaderDuties:
    """The periodic work, run on each control VM; idle unless it leads."""

    __slots__ = (
        '_first_seen_at',
        '_is_leadership_announced',
        '_node',
        '_term',
        '_vm',
    )

    def __init__(self, node: ControlNode, vm: VmAgentRunner) -> None:
        """Create the periodic work of a control replica on a VM."""
        self._node = node
        self._vm = vm
        self._is_leadership_announced = False
        self._term = 0
        self._first_seen_at: dict[str, float] = {}

    async def run(self) -> None:
        """Run the periodic work until cancelled."""
        while True:
            await self.run_round()
            await asyncio.sleep(
                _ROUND_INTERVAL_S
                if self._is_leadership_announced
                else _ELECTION_POLL_INTERVAL_S
            )

    async def run_round(self) -> None:
        """Renew the proof, announce a new leadership and remove dead VMs.

        On a VM that is not the leader, only clear the mark that the leadership
        was announced. The times at which VMs were first checked are cleared in
        a new term, but not by a lease that lapses within a term.
        """
        if self._term != self._node.term:
            self._term = self._node.term
            self._first_seen_at.clear()
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
        await self._remove_dead_vms(started_at)

    async def _remove_dead_vms(self, now: float) -> None:
        removal_timeout_s = self._vm.timings.removal_timeout_s
        self._node.report_tracker.retain_vms(self._node.state.vms)
        for vm in tuple(self._node.state.vms.values()):
            if now - self._last_seen_at(vm.name, now) > removal_timeout_s:
                command = RegisterVm(
                    at_ms=self._node.now_ms(),
                    vm=vm,
                    gone=True,
                )
                await self._node.propose(command)
                self._first_seen_at.pop(vm.name, None)

    def _last_seen_at(self, name: str, now: float) -> float:
        """Return when a VM was last known to be alive.

        A VM counts as alive when this leader first checks it, so a new leader
        waits for the full `removal_timeout_s` before it removes a VM.
        """
        if name == self._vm.record.name:
            return now
        proven_at = self._vm.agent.proofs.vms_proven_at.get(name, -math.inf)
        latest_report = self._node.report_tracker.latest_reports.get(name)
        reported_at = latest_report[0] if latest_report else -math.inf
        first_seen_at = self._first_seen_at.setdefault(name, now)
        return max(proven_at, reported_at, first_seen_at)
