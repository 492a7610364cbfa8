"""The entry role of one process.

Entering the context starts listening for callers and raises `OSError` if the
address cannot be bound. `drain` is the planned stop: it returns when no
request is running any more, at the latest when the drain timeout has passed and
each request has been answered.
"""

import asyncio
import random
import ssl
from contextlib import AsyncExitStack
from functools import partial
from types import TracebackType
from typing import Any, Final, Self, final

from persimmonhold.admission import Dispatcher, DispatcherSettings
from persimmonhold.control.shell import ControlLink
from persimmonhold.directory import Directory, Drain
from persimmonhold.entry._dispatch_hub import DispatchHub
from persimmonhold.entry._entry_handler import EntryHandler
from persimmonhold.entry._entry_services import EntryServices
from persimmonhold.observability import Metrics, log_event
from persimmonhold.routing import Router, RouterSettings
from persimmonhold.settings import (
    CallerSettings,
    PlatformSettings,
    VmSettings,
)
from persimmonhold.tasks import BackgroundTasks, run_with_time_limits
from persimmonhold.upstreams import UpstreamPollers
from persimmonhold.web import (
    Address,
    HttpBounds,
    HttpServer,
    MemoryBudget,
    parse_address,
)

_CLAIM_COMMIT_TIMEOUT_S: Final = 5.0
_LOAD_UPDATE_INTERVAL_S: Final = 0.5
# Longest wait for requests under way where a part of the process has failed.
_MAX_FAILED_DRAIN_S: Final = 30.0
# Time for the transmission of the last responses after all requests were ended.
_FLUSH_S: Final = 0.2


@final
class Entry:
    """Owns the HTTP server, the upstream pollers and the running requests."""

    def __init__(
        self,
        vm: VmSettings,
        callers: CallerSettings,
        platform: PlatformSettings,
        link: ControlLink,
        metrics: Metrics,
        seed: int | None = None,
        incarnation: str = '',
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Create the entry of a VM from its sections of the settings.

        `seed` makes the random choices repeatable, for tests.
        """
        self._callers = callers
        self._link = link
        self._stack = AsyncExitStack()
        self._background = BackgroundTasks()
        rng = random.Random(seed)
        router = Router(vm.failure_domain, vm.name, RouterSettings(), rng)
        self._settings = DispatcherSettings()
        dispatcher = Dispatcher(router, self._settings, rng)
        self.hub = DispatchHub(router, dispatcher)
        self._services = EntryServices(
            self.hub,
            link,
            metrics,
            vm.name,
            incarnation,
        )
        self._pollers = UpstreamPollers(self.hub, platform, rng)
        self._directory = Directory(
            vm.name,
            vm.failure_domain,
            callers.directory_ttl_s,
        )
        self._drain = Drain(
            callers.directory_ttl_s,
            callers.drain_margin_s,
            callers.drain_timeout_s,
        )
        self.handler = EntryHandler(
            self._services,
            self._directory,
            self._drain,
        )
        self._server = HttpServer(
            parse_address(callers.address).unwrap(),
            self.handler,
            _build_http_bounds(callers),
            tls,
        )

    async def __aenter__(self) -> Self:
        """Apply the current view, listen, and start polling upstreams."""
        async with AsyncExitStack() as stack:
            self.hub.apply_view(self._link.view)
            stack.callback(self.hub.stop_timer)
            stack.callback(self._services.pool.close)
            await stack.enter_async_context(self._server)
            await stack.enter_async_context(self._pollers)
            await stack.enter_async_context(self._background)
            self._start_tasks()
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop at once, cutting off requests unless `drain` was awaited."""
        await self._stack.aclose()
        await self._services.claim_committer.wait_and_cancel(0)

    @property
    def failed(self) -> asyncio.Event:
        """The event set when a background task has ended unexpectedly."""
        return self._background.failed

    @property
    def address(self) -> Address:
        """The address on which this entry listens for callers."""
        return self._server.address

    @property
    def running_request_count(self) -> int:
        """The number of running requests."""
        return self.handler.running_request_count

    def share_budget(self, budget: MemoryBudget) -> None:
        """Use the memory budget of the process; call it before the start."""
        self._server.budget = budget

    async def drain(self, *, at_once: bool = False) -> None:
        """Leave the directory, keep serving, then finish running requests.

        Each request is answered by the end of the drain, at the latest at its
        time limits. `at_once` accepts no more connections and requests, as a
        part of the process has failed; it may follow a drain that was
        cancelled.
        """
        self._directory.is_leaving = True
        if at_once:
            self._close_at_once()
        else:
            await self._leave_directory()
        schedule = self._drain.schedule
        self.hub.plan_stop(schedule.answers_at)
        await _sleep_until(schedule.announces_close_at)
        self._server.announce_close()
        await _sleep_until(schedule.closes_at)
        self._drain.advance(_now(), self.running_request_count + 1)
        self._log_drain()
        await self._finish_requests()
        await self._services.claim_committer.wait_and_cancel(
            _CLAIM_COMMIT_TIMEOUT_S
        )
        self._drain.advance(_now(), 0)
        self._log_drain()

    async def _leave_directory(self) -> None:
        """Wait until the directories of all VMs leave this entry out."""
        self._drain.start_drain(_now())
        is_withdrawn = await self._link.announce_draining()
        self._drain.record_directory_exit(_now())
        self._log_drain(announced=is_withdrawn)

    def _close_at_once(self) -> None:
        """Close now; the directories leave this entry out a little later."""
        self._link.set_draining(draining=True)
        self._drain.close_at_once(_now(), _MAX_FAILED_DRAIN_S)
        self._log_drain(announced=False)

    async def _finish_requests(self) -> None:
        """Stop listening; finish the running requests within the schedule."""
        schedule = self._drain.schedule
        await run_with_time_limits(
            self._close_connections(),
            (schedule.answers_at, partial(self._end_requests, is_final=False)),
            (schedule.ends_at, partial(self._end_requests, is_final=True)),
            clock=_now,
            flush_s=_FLUSH_S,
        )

    async def _close_connections(self) -> None:
        await self._server.drain()
        await self.handler.wait_for_requests()

    def _end_requests(self, *, is_final: bool) -> None:
        self._log_drain('ending')
        self.handler.end_requests(is_final=is_final)

    def _log_drain(self, phase: str = '', **fields: Any) -> None:
        """Log the phase of the drain, and the requests in progress."""
        log_event(
            'drain',
            phase=phase or self._drain.phase.value,
            running=self.running_request_count,
            waiting=sum(self.hub.dispatcher.queue_depths().values()),
            **fields,
        )

    def _start_tasks(self) -> None:
        self._background.start_task(self._follow_views(), 'views')
        self._background.start_task(self._report_demand(), 'demand')
        self._background.start_task(self._publish_load(), 'load')
        for task in self._pollers.tasks:
            self._background.monitor_task(task)

    async def _follow_views(self) -> None:
        while True:
            await self._link.view_changed.wait()
            self._link.view_changed.clear()
            self.hub.apply_view(self._link.view)

    async def _report_demand(self) -> None:
        while True:
            await asyncio.sleep(self._settings.demand_period_s)
            demand = self.hub.dispatcher.last_period_demand(_now())
            self._link.report_demand(demand)

    async def _publish_load(self) -> None:
        """Publish in the directory how full this entry is, from 0 to 1."""
        while True:
            connections = self._server.connection_count
            connection_fraction = connections / self._callers.max_connections
            request_fraction = len(self.hub) / self._settings.queue_requests
            self._directory.load_fraction = min(
                1.0, max(connection_fraction, request_fraction)
            )
            await asyncio.sleep(_LOAD_UPDATE_INTERVAL_S)


def _build_http_bounds(callers: CallerSettings) -> HttpBounds:
    return HttpBounds(
        max_head_bytes=callers.max_head_bytes,
        max_body_bytes=callers.max_body_bytes,
        head_timeout_s=callers.head_timeout_s,
        body_timeout_s=callers.body_timeout_s,
        max_connections=callers.max_connections,
    )


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0, at - _now()))


def _now() -> float:
    return asyncio.get_running_loop().time()
