"""One VM on a platform, which forwards requests by route."""

from contextlib import AsyncExitStack
from types import TracebackType
from typing import final

from persimmonhold import system
from persimmonhold.control.shell import RemoteControlLink
from persimmonhold.forwarding import ForwardEntry, PlatformAdapter
from persimmonhold.settings import Settings
from persimmonhold.system._base_vm import BaseVm, wait_for_failure
from persimmonhold.system._boot_clock import boot_clock
from persimmonhold.system._leader_work import LeaderWork


@final
class ForwardingVm(BaseVm):
    """A VM on a platform.

    Its entry forwards requests by the routes in force; its control role
    issues orders to the upstreams.
    """

    def __init__(self, settings: Settings, adapter: PlatformAdapter) -> None:
        """Create the VM from validated settings."""
        super().__init__(settings)
        self.adapter = adapter
        self.entry: ForwardEntry | None = None

    def create_leader_work(self) -> LeaderWork:
        """Return the work that issues orders to the platform's upstreams."""
        return system.FleetWork(self.adapter, self.transport)

    async def drain_entry(self, *, at_once: bool) -> None:
        """Drain the entry, if there is one, within a limited time."""
        if self.entry is not None:
            await self.entry.drain(at_once=at_once)

    async def start_entry(
        self,
        stack: AsyncExitStack,
        link: RemoteControlLink,
    ) -> None:
        """Start the forwarding entry; if it fails, the VM stops as failed."""
        self.entry = ForwardEntry(
            self.settings,
            self.adapter,
            link,
            self.vm,
            self.transport,
            self.metrics,
            boot_clock,
            budget=self.peer_budget,
        )
        await stack.enter_async_context(self.entry)
        self.background.start_task(wait_for_failure(self.entry.failed), 'entry')

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop at once, then close the connections to the platform."""
        await super().__aexit__(exc_type, exc, traceback)
        self.adapter.upstream_client.close()
