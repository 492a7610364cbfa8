"""The entry role for opaque requests.

Entering the context listens for callers; it raises `OSError` where an
address cannot be had. `drain` is the planned stop: it serves on while callers
may still come, and returns when nothing runs any more or its time is over.
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self, final

from persimmonhold.control.shell import ControlLink, VmAgentRunner
from persimmonhold.directory import Directory, DirectoryResponse
from persimmonhold.fleet import ForwardDispatcher
from persimmonhold.forwarding._entry_status import EntryStatus
from persimmonhold.forwarding._fleet_client import FleetClient
from persimmonhold.forwarding._forward_handler import ForwardHandler
from persimmonhold.forwarding._forward_hub import ForwardHub
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.forwarding._platform_adapter import PlatformAdapter
from persimmonhold.observability import Metrics, log_event
from persimmonhold.routes import TrafficLimits
from persimmonhold.settings import Settings
from persimmonhold.tasks import Background
from persimmonhold.transport import Transport
from persimmonhold.web import HttpBounds, HttpServer, parse_address

_MS_PER_S: Final = 1000
_LARGE_HEAD: Final = 431
_SLOW_HEAD: Final = 408
_KEPT_BODIES: Final = 33_554_432  # a tenth of the memory of a small VM
_ANNOUNCE_TTLS: Final = 1.0  # answers ask to close after this many ttls
_LEAVE_TTLS: Final = 3.0  # some callers keep addresses three times as long
_END_MARGIN_S: Final = 0.7  # to end before the process is killed
_PRUNE_S: Final = 2.0


@final
class ForwardEntry(EntryStatus):
    """Owns the servers, the hub and the exchange with control."""

    def __init__(
        self,
        settings: Settings,
        adapter: PlatformAdapter,
        link: ControlLink,
        vm: VmAgentRunner,
        transport: Transport,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        """Create the entry of a VM on a platform."""
        self.adapter = adapter
        self.link = link
        self.is_draining = False
        self.stack = AsyncExitStack()
        self.background = Background()
        generator = random.Random()
        domain = settings.vm.failure_domain
        dispatcher = ForwardDispatcher(
            domain,
            adapter.bounds.retries,
            generator,
        )
        self.hub = ForwardHub(dispatcher, clock)
        self.fleet_client = FleetClient(
            self.hub,
            vm,
            transport,
            adapter.upstream_client,
            generator,
        )
        self.services = ForwardServices(
            self.hub,
            self.fleet_client,
            link,
            adapter.dialect,
            metrics,
        )
        self.handler = ForwardHandler(self.services)
        self.names = Directory(
            settings.vm.name,
            domain,
            adapter.bounds.directory_ttl_s,
        )
        self.limits = TrafficLimits()
        self.server = HttpServer(
            parse_address(settings.callers.address).unwrap(),
            self.handler,
            _http_bounds(self.limits),
        )

    async def __aenter__(self) -> Self:
        """Listen, and start to report."""
        async with AsyncExitStack() as stack:
            stack.callback(self.hub.close)
            stack.callback(self.services.pool.close)
            await stack.enter_async_context(self.server)
            for served in self.adapter.create_entry_handlers(self):
                server = HttpServer(
                    served.address,
                    served.handler,
                    HttpBounds(),
                )
                await stack.enter_async_context(server)
            await stack.enter_async_context(self.background)
            self._start_tasks()
            self.stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop at once; what runs is cut off unless `drain` came first."""
        await self.stack.aclose()

    @property
    def failed(self) -> asyncio.Event:
        """It is set when a task that must run on has ended."""
        return self.background.failed

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should come: in touch, and with routes."""
        if self.is_draining or not self.link.can_serve:
            return False
        has_routes = self.link.view.routes.version > 0
        return has_routes and bool(self.hub.dispatcher.chooser.trackers)

    def list_entries(self, failure_domain: str) -> DirectoryResponse:
        """Return the entries for a caller in a failure domain."""
        return self.names.list_entries(
            self.link.view,
            self.link.live_vms,
            failure_domain,
        )

    async def drain(self) -> None:
        """Leave the directory, serve on, then finish what runs."""
        began_at = self.hub.clock()
        self.is_draining = True
        self.names.is_leaving = True
        bounds = self.adapter.bounds
        log_event('drain', phase='leaving', running=self.handler.running_count)
        leaving = asyncio.get_running_loop().create_task(
            self.link.announce_draining(),
        )
        await self._wait(began_at, bounds.directory_ttl_s * _ANNOUNCE_TTLS)
        self.server.announce_close()
        await self._wait(began_at, bounds.directory_ttl_s * _LEAVE_TTLS + 1)
        log_event('drain', phase='closing', running=self.handler.running_count)
        ends_at = began_at + bounds.grace_s - _END_MARGIN_S
        try:
            async with asyncio.timeout(ends_at - self.hub.clock()):
                await self.server.drain()
        except TimeoutError:
            log_event('drain_timed_out', running=self.handler.running_count)
        leaving.cancel()
        log_event('drain', phase='drained')

    async def _wait(self, began_at: float, after_s: float) -> None:
        await asyncio.sleep(max(0, began_at + after_s - self.hub.clock()))

    def _start_tasks(self) -> None:
        self.background.run(self._apply_views(), 'views')
        self.background.run(self.fleet_client.run(), 'fleet')
        self.background.run(self._prune_pool(), 'connections')

    async def _apply_views(self) -> None:
        """Follow the limits in force and the number of entries."""
        while True:
            view = self.link.view
            entries = sum(bool(vm.callers) for vm in view.vms)
            self.hub.dispatcher.entry_count = max(1, entries)
            if view.routes.version and view.routes.limits != self.limits:
                self.limits = view.routes.limits
                self.server.change_bounds(_http_bounds(self.limits))
            self.handler.refresh_route_table()
            await self.link.changed.wait()
            self.link.changed.clear()

    async def _prune_pool(self) -> None:
        while True:
            await asyncio.sleep(_PRUNE_S)
            self.services.pool.prune(asyncio.get_running_loop().time())


def _http_bounds(limits: TrafficLimits) -> HttpBounds:
    return HttpBounds(
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
        max_kept_bytes=_KEPT_BODIES,
        head_timeout_s=limits.head_timeout_ms / _MS_PER_S,
        body_timeout_s=limits.head_timeout_ms / _MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / _MS_PER_S,
        large_head_status=_LARGE_HEAD,
        slow_head_status=_SLOW_HEAD,
    )
