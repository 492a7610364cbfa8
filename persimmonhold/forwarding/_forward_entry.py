"""The entry role of a VM that forwards requests by their route.

Entering the context listens for callers; it raises `OSError` where an
address cannot be bound. `drain` is the planned stop: it keeps serving while
callers may still connect, and returns when no request is running or its time
limit has passed.
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import partial
from types import TracebackType
from typing import Final, Self, final

import msgspec

from persimmonhold.control.shell import ControlLink, VmAgentRunner
from persimmonhold.directory import (
    Directory,
    DirectoryResponse,
    StopSchedule,
)
from persimmonhold.fleet import ForwardDispatcher
from persimmonhold.forwarding._entry_status import EntryStatus
from persimmonhold.forwarding._fleet_client import FleetClient
from persimmonhold.forwarding._forward_handler import ForwardHandler
from persimmonhold.forwarding._forward_hub import ForwardHub
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.forwarding._platform_adapter import PlatformAdapter
from persimmonhold.observability import Metrics, log_event
from persimmonhold.routes import RoutingDocument, TrafficLimits
from persimmonhold.settings import Settings
from persimmonhold.tasks import (
    BackgroundTasks,
    keep_running,
    run_with_time_limits,
)
from persimmonhold.transport import Transport
from persimmonhold.upstreams import share_idle_connections
from persimmonhold.web import (
    HttpBounds,
    HttpServer,
    MemoryBudget,
    parse_address,
)

_MS_PER_S: Final = 1000
_HEAD_TOO_LARGE_STATUS: Final = 431
_HEAD_TIMEOUT_STATUS: Final = 408
# Limit on the buffered bodies of all requests: a tenth of the memory of a small
# VM.
_MAX_BUFFERED_BODY_BYTES: Final = 33_554_432
# Time for the transmission of the last responses after all requests were ended.
_FLUSH_S: Final = 0.2
_PRUNE_INTERVAL_S: Final = 2.0


@final
class ForwardEntry(EntryStatus):
    """Serves callers: owns the HTTP servers, the hub and the fleet client."""

    def __init__(
        self,
        settings: Settings,
        adapter: PlatformAdapter,
        link: ControlLink,
        vm: VmAgentRunner,
        transport: Transport,
        metrics: Metrics,
        clock: Callable[[], float],
        *,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Create the entry of a VM on a platform."""
        self.adapter = adapter
        self.link = link
        self.is_draining = False
        self.schedule: StopSchedule | None = None
        self.stack = AsyncExitStack()
        self.background = BackgroundTasks()
        rng = random.Random()
        failure_domain = settings.vm.failure_domain
        dispatcher = ForwardDispatcher(
            failure_domain,
            adapter.bounds.retries,
            rng,
        )
        self.hub = ForwardHub(dispatcher, clock, metrics)
        self.fleet_client = FleetClient(
            self.hub,
            vm,
            transport,
            adapter.upstream_client,
            rng,
        )
        self.services = ForwardServices(
            self.hub,
            self.fleet_client,
            link,
            adapter.dialect,
            metrics,
            adapter.bounds.max_proof_age_s,
        )
        self.handler = ForwardHandler(self.services)
        self.directory = Directory(
            settings.vm.name,
            failure_domain,
            adapter.bounds.directory_ttl_s,
        )
        self.limits = TrafficLimits()
        self.server = HttpServer(
            parse_address(settings.callers.address).unwrap(),
            self.handler,
            _http_bounds(self.limits),
            budget=budget,
        )

    async def __aenter__(self) -> Self:
        """Start listening and start the background tasks."""
        async with AsyncExitStack() as stack:
            stack.callback(self.hub.close)
            stack.callback(self.services.pool.close)
            stack.callback(self.services.probe.close)
            stack.callback(self.services.reach.close)
            await stack.enter_async_context(self.server)
            for served in self.adapter.create_entry_handlers(self):
                server = HttpServer(
                    served.address,
                    served.handler,
                    HttpBounds(),
                    budget=self.server.budget,
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
        """Stop at once; running requests are aborted unless `drain` ran."""
        await self.stack.aclose()

    @property
    def failed(self) -> asyncio.Event:
        """Set when a task that must keep running has ended."""
        return self.background.failed

    @property
    def is_ready(self) -> bool:
        """Tell whether this entry may serve, and knows routes and upstreams."""
        if self.is_draining or not self.link.can_serve:
            return False
        has_routes = self.link.view.routes.version > 0
        return has_routes and bool(self.hub.dispatcher.chooser.trackers)

    def list_entries(self, failure_domain: str) -> DirectoryResponse:
        """Return the entries that a caller in a failure domain may use."""
        return self.directory.list_entries(
            self.link.view,
            self.link.live_vms,
            failure_domain,
        )

    async def drain(self, *, at_once: bool = False) -> None:
        """Leave the directory, keep serving, then finish running requests.

        Returns at the latest shortly before the grace period ends. `at_once`
        accepts no more connections, as a part of the process has failed; it may
        follow a drain that was cancelled.
        """
        schedule = self._plan_stop(at_once=at_once)
        self.is_draining = True
        self.directory.is_leaving = True
        self._log_drain('leaving')
        announcement = asyncio.get_running_loop().create_task(
            self.link.announce_draining(),
        )
        try:
            await self._serve_until_closed(schedule)
        finally:
            await self._finish_requests(schedule)
            announcement.cancel()
        self._log_drain('drained')

    def _plan_stop(self, *, at_once: bool) -> StopSchedule:
        """Return the schedule; a drain that has begun is not prolonged."""
        now = self.hub.clock()
        bounds = self.adapter.bounds
        schedule = self.schedule or StopSchedule.within_grace(
            now, bounds.grace_s, bounds.directory_ttl_s
        )
        if at_once:
            schedule = schedule.without_new_connections(now)
        self.schedule = schedule
        return schedule

    async def _serve_until_closed(self, schedule: StopSchedule) -> None:
        """Serve on until the entry accepts no more connections."""
        self.hub.plan_stop(schedule.answers_at)
        await self._sleep_until(schedule.announces_close_at)
        self.server.announce_close()
        await self._sleep_until(schedule.closes_at)
        self._log_drain('closing')

    async def _finish_requests(self, schedule: StopSchedule) -> None:
        """Close idle connections, and the others after their responses.

        Requests that are not finished in time are ended, first those whose
        response has not begun.
        """
        await run_with_time_limits(
            self.server.drain(),
            (schedule.answers_at, partial(self._end_requests, has_begun=False)),
            (schedule.ends_at, partial(self._end_requests, has_begun=True)),
            clock=self.hub.clock,
            flush_s=_FLUSH_S,
        )

    def _end_requests(self, *, has_begun: bool) -> None:
        self._log_drain('ending')
        self.handler.end_requests(has_begun=has_begun)

    def _log_drain(self, phase: str) -> None:
        """Log a phase of the drain, and the requests in progress."""
        log_event(
            'drain',
            phase=phase,
            running=self.handler.running_count,
            waiting=len(self.hub.waiters),
        )

    async def _sleep_until(self, at: float) -> None:
        """Sleep until the clock of the entry shows `at`."""
        await asyncio.sleep(max(0, at - self.hub.clock()))

    def _start_tasks(self) -> None:
        self.background.start_task(self._apply_views(), 'views')
        for part, name in (
            (self.fleet_client.run, 'fleet'),
            (self._prune_pool, 'connections'),
        ):
            self.background.start_task(keep_running(part, name), name)

    async def _apply_views(self) -> None:
        """Apply the limits, routes and entry count of each new view."""
        while True:
            view = self.link.view
            entry_count = sum(bool(vm.callers) for vm in view.vms)
            self.hub.dispatcher.entry_count = max(1, entry_count)
            # Deployments without workspaces choose upstreams as before.
            self.hub.dispatcher.chooser.preference.configure(
                max(1, entry_count),
                is_enabled=view.routes.workspaces is not msgspec.UNSET,
            )
            self._limit_idle_connections(view.routes)
            if view.routes.version and view.routes.limits != self.limits:
                self.limits = view.routes.limits
                self.server.update_bounds(_http_bounds(self.limits))
            self.handler.refresh_route_table()
            await self.link.view_changed.wait()
            self.link.view_changed.clear()

    def _limit_idle_connections(self, document: RoutingDocument) -> None:
        """Keep this entry's share of the connections that upstreams accept."""
        accepted = [one.max_connections for one in document.services]
        if accepted:
            self.services.pool.limit_idle(
                share_idle_connections(
                    min(accepted), self.hub.dispatcher.entry_count
                )
            )

    async def _prune_pool(self) -> None:
        """Close connections that were idle for too long, at intervals."""
        while True:
            await asyncio.sleep(_PRUNE_INTERVAL_S)
            self.services.pool.close_unusable(asyncio.get_running_loop().time())


def _http_bounds(limits: TrafficLimits) -> HttpBounds:
    return HttpBounds(
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
        max_buffered_bytes=_MAX_BUFFERED_BODY_BYTES,
        head_timeout_s=limits.head_timeout_ms / _MS_PER_S,
        body_timeout_s=limits.head_timeout_ms / _MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / _MS_PER_S,
        large_head_status=_HEAD_TOO_LARGE_STATUS,
        slow_head_status=_HEAD_TIMEOUT_STATUS,
    )
