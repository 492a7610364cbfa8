"""Decides on the control leader when a change counts as accepted."""

import asyncio
from collections.abc import Callable, Collection
from typing import Final, final

from persimmonhold.control.shell._vm_agent_runner import VmAgentRunner
from persimmonhold.control.shell._vm_liveness import VmLiveness
from persimmonhold.control.shell._vm_report_tracker import VmReportTracker
from persimmonhold.observability import log_event
from persimmonhold.tasks import wait_with_timeout

_ACCEPT_TIMEOUT_S: Final = 4.0
_POLL_INTERVAL_S: Final = 0.1  # between looks at VMs that send no reports


@final
class ViewAcceptance:
    """Waits until enough VMs hold a view.

    A view is accepted once a majority of the registered VMs holds it. With a
    finite `acceptance_silence_s` it is also accepted once each VM that lacks
    it has been silent for so long, however many these are: VMs that are lost
    must not hold up changes, nor their own removal.
    """

    __slots__ = ('_report_received', '_tracker', '_vm', 'liveness')

    def __init__(self, vm: VmAgentRunner, tracker: VmReportTracker) -> None:
        """Create the decision for the leader's VM."""
        self.liveness = VmLiveness(vm.agent.proofs, tracker)
        self._vm = vm
        self._tracker = tracker
        self._report_received = asyncio.Event()

    def record_report(self) -> None:
        """Have waiting calls look again after a report."""
        self._report_received.set()

    def is_accepted(
        self, index: int, names: Collection[str], leading_term: int | None
    ) -> bool:
        """Tell whether the view at `index` is accepted by the VMs `names`.

        `leading_term` is the term in which this VM leads with a valid lease,
        or None; only a leader may go by the silence of VMs.
        """
        acknowledgements = self._tracker.acknowledgements
        if acknowledgements.is_accepted(index, names):
            return True
        if leading_term is None:
            return False
        now = self._vm.clock()
        self.liveness.observe(leading_term, now)
        silence_s = self._vm.timings.acceptance_silence_s_for(len(names))
        lagging = [
            name
            for name in acknowledgements.lagging_vms(index, names)
            if name != self._vm.record.name
        ]
        # Looks at all of them, so that the silence of each one is recorded.
        is_silent = [
            self.liveness.silence_s(name, now) >= silence_s for name in lagging
        ]
        if not all(is_silent):
            return False
        log_event(
            'accepted_without_silent_vms',
            index=index,
            silent=len(lagging),
            registered=len(names),
            silence_s=silence_s,
        )
        return True

    async def wait_until(self, is_accepted: Callable[[], bool]) -> bool:
        """Wait until a view is accepted; return False after the timeout."""
        timeout_at = self._vm.clock() + _ACCEPT_TIMEOUT_S
        while not is_accepted():
            if self._vm.clock() >= timeout_at:
                return False
            self._report_received.clear()
            await wait_with_timeout(self._report_received, _POLL_INTERVAL_S)
        return True
