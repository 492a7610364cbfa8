"""Dependencies shared by the forwarded requests of an entry."""

import math
from typing import TYPE_CHECKING, final

from persimmonhold import forwarding
from persimmonhold.control.shell import ControlLink
from persimmonhold.forwarding._active_routes import ActiveRoutes
from persimmonhold.forwarding._dialect import Dialect
from persimmonhold.forwarding._fleet_client import FleetClient
from persimmonhold.forwarding._forward_hub import ForwardHub
from persimmonhold.forwarding._hedge_hub import HedgeHub
from persimmonhold.forwarding._key_check import KeyCheck
from persimmonhold.forwarding._process_probe import ProcessProbe
from persimmonhold.forwarding._reach_probe import ReachProbe
from persimmonhold.observability import BurstSampler, Metrics
from persimmonhold.reach import RelayPeers
from persimmonhold.upstreams import ConnectionPool

if TYPE_CHECKING:
    from persimmonhold.forwarding._quota_client import QuotaClient


@final
class ForwardServices:
    """The components that the forwarded requests of one entry share."""

    __slots__ = (
        'dialect',
        'fleet_client',
        'hedges',
        'hub',
        'keys',
        'link',
        'metrics',
        'pool',
        'probe',
        'quota_client',
        'reach',
        'relay_peers',
        'routes',
        'sampler',
    )

    def __init__(
        self,
        hub: ForwardHub,
        fleet_client: FleetClient,
        link: ControlLink,
        dialect: Dialect,
        metrics: Metrics,
        max_proof_age_s: float = math.inf,
    ) -> None:
        """Create the services with a new connection pool and log sampler.

        `max_proof_age_s` is that of `FleetBounds`.
        """
        self.hub = hub
        self.hedges = HedgeHub(hub)
        self.fleet_client = fleet_client
        self.link = link
        self.dialect = dialect
        self.metrics = metrics
        self.routes = ActiveRoutes(link)
        self.keys = KeyCheck(self.routes, dialect, link, max_proof_age_s)
        self.pool = ConnectionPool()
        self.probe = ProcessProbe(hub, fleet_client.upstream_client)
        self.reach = ReachProbe(hub, self.pool, metrics)
        own = fleet_client.vm.record
        self.relay_peers = RelayPeers(
            own.name, own.failure_domain, fleet_client.rng
        )
        self.sampler = BurstSampler()
        self.quota_client: QuotaClient | None = None

    def find_quota_client(self) -> 'QuotaClient':
        """Return the client for credit, created when it is first needed.

        Entries without workspaces do not import it.
        """
        if self.quota_client is None:
            self.quota_client = forwarding.QuotaClient(
                self.fleet_client, self.link, self.metrics
            )
        return self.quota_client
