"""One VM of the system, with the roles that its settings name.

Start order: transport, control, link to control, entry. A planned stop goes
in reverse: the entry leaves the directory, which lists entries to callers,
and completes its running requests, control leadership is transferred, then
the process exits. Subclasses define what the entry serves and which work the
control leader does.
"""

import abc
import asyncio
import math
from contextlib import AsyncExitStack
from types import TracebackType
from typing import TYPE_CHECKING, Final, Self

from persimmonhold import system
from persimmonhold.control.shell import (
    ControlClient,
    ControlMetrics,
    ProposalServer,
    RemoteControlLink,
    VmAgentRunner,
)
from persimmonhold.membership import MembershipTimings
from persimmonhold.observability import Metrics, log_event, metric
from persimmonhold.settings import PeerSettings, Settings
from persimmonhold.system._boot_clock import boot_clock
from persimmonhold.system._leader_work import LeaderWork
from persimmonhold.system._metrics_handler import MetricsHandler
from persimmonhold.system._peer_budget import create_peer_budget
from persimmonhold.system._usage_log import UsageLog
from persimmonhold.system._vm_record import create_vm_record
from persimmonhold.tasks import BackgroundTasks
from persimmonhold.transport import NngTransport
from persimmonhold.web import HttpBounds, HttpServer, parse_address

if TYPE_CHECKING:
    from persimmonhold.system._control_role import ControlRole

_METRICS_INTERVAL_S: Final = 1.0
_MS_PER_S: Final = 1000


class BaseVm(abc.ABC):
    """Owns all components that one VM runs.

    Entering the context raises `OSError` if an address, a folder or a
    certificate cannot be used.
    """

    def __init__(self, settings: Settings) -> None:
        """Create the VM from validated settings."""
        self.settings = settings
        self.stack = AsyncExitStack()
        self.background = BackgroundTasks()
        self.metrics = Metrics()
        self.peer_budget = create_peer_budget(settings.vm, self.metrics)
        self.transport = NngTransport(
            settings.vm.name,
            settings.peers,
            settings.tls,
        )
        self.vm = VmAgentRunner(
            create_vm_record(settings),
            settings.peers.control_addresses,
            self.transport,
            create_membership_timings(settings.peers),
            boot_clock,
        )
        self.control: ControlRole | None = None
        self.link: RemoteControlLink | None = None

    async def __aenter__(self) -> Self:
        """Start the transport, the metrics server and the VM's roles."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.transport)
            await stack.enter_async_context(self.background)
            await self._start_metrics_server(stack)
            await self._start_roles(stack)
            self.stack = stack.pop_all()
        log_event(
            'started',
            vm=self.settings.vm.name,
            roles=self.settings.vm.roles,
            incarnation=self.vm.record.incarnation,
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop at once; running requests are aborted unless drained before."""
        await self.stack.aclose()
        log_event('stopped', vm=self.settings.vm.name)

    async def drain(self, *, at_once: bool = False) -> None:
        """Drain for a planned stop.

        Running requests complete, and control leadership is transferred. With
        `at_once`, a part of the VM has failed: its entry accepts nothing more,
        and its control role is not drained.
        """
        await self.drain_entry(at_once=at_once)
        if self.control is not None and not at_once:
            await self.control.drain()

    @abc.abstractmethod
    async def drain_entry(self, *, at_once: bool) -> None:
        """Drain the entry, if there is one, within a limited time.

        With `at_once`, it accepts no more connections and requests.
        """

    @abc.abstractmethod
    def create_leader_work(self) -> LeaderWork:
        """Return the work of the leader besides replicating control state."""

    @abc.abstractmethod
    async def start_entry(
        self,
        stack: AsyncExitStack,
        link: RemoteControlLink,
    ) -> None:
        """Start the entry; closing `stack` stops it."""

    async def _start_roles(self, stack: AsyncExitStack) -> None:
        settings = self.settings
        if settings.vm.has_control:
            self.control = system.ControlRole(
                settings,
                self.vm,
                self.transport,
                self.create_leader_work(),
                self.background,
                self.peer_budget,
            )
            await stack.enter_async_context(self.control)
        node = self.control.node if self.control else None
        client = ControlClient(self.vm, self.transport)
        proposals = ProposalServer(client, self.transport, node)
        stack.push_async_callback(proposals.close)
        link = RemoteControlLink(self.vm, client, node)
        self.link = link
        self.background.start_task(self.vm.run(), 'membership')
        self.background.start_task(link.run(), 'registration')
        self.background.start_task(self._update_metrics(), 'control metrics')
        if settings.vm.has_entry:
            await self.start_entry(stack, link)

    async def _start_metrics_server(self, stack: AsyncExitStack) -> None:
        address = self.settings.metrics.address
        if address:
            server = HttpServer(
                parse_address(address).unwrap(),
                MetricsHandler(self.metrics),
                HttpBounds(),
                budget=self.peer_budget,
            )
            await stack.enter_async_context(server)

    async def _update_metrics(self) -> None:
        """Copy counters to the metrics and the log until cancelled."""
        counters = self.transport.traffic_counters
        control_metrics = ControlMetrics(self.metrics)
        usage_log = UsageLog(counters, boot_clock())
        while True:
            control_metrics.update(self.vm.agent, counters)
            if self.control is not None:
                control_metrics.update_log(self.control.replica.status())
            self.metrics.set_gauge(
                metric.BUFFERED_BYTES, self.peer_budget.reserved_bytes
            )
            slept_at = boot_clock()
            await asyncio.sleep(_METRICS_INTERVAL_S)
            now = boot_clock()
            usage_log.record_loop_delay(now - slept_at - _METRICS_INTERVAL_S)
            usage_log.log_if_due(now)


async def wait_for_failure(failed: asyncio.Event) -> None:
    """Return once `failed` is set.

    Run as a background task: when such a task ends, the VM has failed.
    """
    await failed.wait()


def create_membership_timings(peers: PeerSettings) -> MembershipTimings:
    """Return the timings of membership that the settings of a VM imply."""
    silence_s = peers.acceptance_silence_ms / _MS_PER_S
    proof_s = peers.leader_proof_ms / _MS_PER_S
    return MembershipTimings(
        acceptance_silence_s=silence_s or math.inf,
        leader_proof_s=proof_s or math.inf,
    )
