"""Finds out which services an entry reaches, by connections to upstreams."""

import asyncio
from typing import Final, final

from returns.result import Failure as Failed

from persimmonhold.fleet import UpstreamFacts
from persimmonhold.forwarding._forward_hub import ForwardHub
from persimmonhold.observability import LogLevel, Metrics, log_event, metric
from persimmonhold.reach import OUT_OF_REACH, ReachMonitor
from persimmonhold.upstreams import ConnectionPool
from persimmonhold.web import ClientConnection, parse_address

_PROBED_UPSTREAMS: Final = 3
_PROBE_TIMEOUT_S: Final = 0.4  # as for an attempt
_PROBE_INTERVAL_S: Final = 0.5


@final
class ReachProbe:
    """Probes a service when several of its upstreams are out of reach.

    It goes on until one is in reach, or the fleet controller hears none either.
    Requests that wait when none is in reach are released to their runners.
    `tasks` are the probes under way, by service.
    """

    __slots__ = ('hub', 'metrics', 'monitor', 'pool', 'tasks')

    def __init__(
        self, hub: ForwardHub, pool: ConnectionPool, metrics: Metrics
    ) -> None:
        """Create a probe; connections that it opens go to the pool."""
        self.hub = hub
        self.pool = pool
        self.metrics = metrics
        self.monitor = ReachMonitor()
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def record_failure(self, service: str, upstream: str) -> None:
        """Record that an upstream gave no connection, or no response in time.

        One that the fleet controller does not hear either shows nothing.
        """
        heard = self._list_heard(service)
        if all(one.name != upstream for one in heard):
            return
        if self.monitor.record_failure(
            service, upstream, len(heard), self.hub.clock()
        ):
            self.monitor.begin_probing(service)
            self.tasks[service] = asyncio.get_running_loop().create_task(
                self._probe(service)
            )

    def close(self) -> None:
        """Cancel the probes under way."""
        for task in self.tasks.values():
            task.cancel()

    async def _probe(self, service: str) -> None:
        """Probe a service until one of its upstreams is in reach."""
        began_at = self.hub.clock()
        was_lost = False
        try:
            while await self._is_out_of_reach(service):
                if self.monitor.record_lost(service, self.hub.clock()):
                    was_lost = True
                    self._record_lost(service)
                    self._release_waiting(service)
                await asyncio.sleep(_PROBE_INTERVAL_S)
        finally:
            self.tasks.pop(service)
            self.monitor.end_probing(service)
        if was_lost:
            log_event(
                'service_in_reach',
                service=service,
                lost_s=round(self.hub.clock() - began_at, 2),
            )

    async def _is_out_of_reach(self, service: str) -> bool:
        """Connect to some upstreams; tell whether there are any, and none did.

        A connection of an attempt that was opened meanwhile counts as well.
        """
        heard = self._list_heard(service)
        rng = self.hub.dispatcher.rng
        probed = rng.sample(heard, min(_PROBED_UPSTREAMS, len(heard)))
        results = await asyncio.gather(*map(self._connect, probed))
        if any(results):
            return False
        return bool(probed) and bool(self.monitor.services[service].failed_at)

    async def _connect(self, upstream: UpstreamFacts) -> bool:
        """Open a connection for the pool; return whether that succeeded."""
        address = parse_address(upstream.address)
        if isinstance(address, Failed):
            return False
        opened = await ClientConnection.connect(
            address.unwrap(), _PROBE_TIMEOUT_S
        )
        if isinstance(opened, Failed):
            return False
        now = asyncio.get_running_loop().time()
        self.pool.release(opened.unwrap(), now)
        return True

    def _list_heard(self, service: str) -> list[UpstreamFacts]:
        """Return the upstreams that stay and that the controller hears."""
        groups = self.hub.dispatcher.chooser.groups
        return [
            tracker.facts
            for tracker in groups.by_service.get(service, ())
            if not tracker.facts.is_silent and not tracker.facts.is_leaving
        ]

    def _record_lost(self, service: str) -> None:
        """Log and count that no upstream of a service is in reach."""
        found = self.monitor.services[service]
        self.metrics.increment(metric.SERVICES_LOST, service=service)
        log_event(
            'service_out_of_reach',
            LogLevel.warning,
            service=service,
            failed=sorted(found.failed_at),
        )

    def _release_waiting(self, service: str) -> None:
        """Refuse what waits for a service that is out of reach.

        Its runners then have other entries forward it.
        """
        now = self.hub.clock()
        dispatcher = self.hub.dispatcher
        waiting = dispatcher.orders.list_waiting(dispatcher.queues, now)
        self.hub.deliver([
            dispatcher.refuse(pending, OUT_OF_REACH, now)
            for pending in waiting
            if pending.request.service == service
        ])
