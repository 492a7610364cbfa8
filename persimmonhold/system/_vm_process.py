"""One VM of a deployment without a platform."""

from contextlib import AsyncExitStack
from typing import final

from persimmonhold.control.shell import RemoteControlLink
from persimmonhold.entry import Entry
from persimmonhold.settings import Settings
from persimmonhold.system._base_vm import BaseVm, wait_for_failure
from persimmonhold.system._leader_work import LeaderWork
from persimmonhold.system._placement_work import PlacementWork


@final
class VmProcess(BaseVm):
    """A VM without a platform.

    Its entry serves the models and services of the catalogue; its control
    role places the models on engines.
    """

    def __init__(self, settings: Settings) -> None:
        """Create the VM from validated settings."""
        super().__init__(settings)
        self.entry: Entry | None = None

    def create_leader_work(self) -> LeaderWork:
        """Return the work that places the catalogue's models on engines."""
        return PlacementWork(self.settings.placement, self.metrics)

    async def drain_entry(self, *, at_once: bool) -> None:
        """Drain the entry, if there is one, within a limited time."""
        if self.entry is not None:
            await self.entry.drain(at_once=at_once)

    async def start_entry(
        self,
        stack: AsyncExitStack,
        link: RemoteControlLink,
    ) -> None:
        """Start the entry; its failure counts as a failure of the VM."""
        self.entry = Entry(
            self.settings.vm,
            self.settings.callers,
            self.settings.platform,
            link,
            self.metrics,
            incarnation=self.vm.record.incarnation,
        )
        self.entry.share_budget(self.peer_budget)
        await stack.enter_async_context(self.entry)
        self.background.start_task(wait_for_failure(self.entry.failed), 'entry')
