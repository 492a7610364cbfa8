"""The components that all requests of an entry share."""

from typing import final

from persimmonhold.control.shell import ControlLink
from persimmonhold.entry._claim_end_committer import ClaimEndCommitter
from persimmonhold.entry._dispatch_hub import DispatchHub
from persimmonhold.observability import Metrics
from persimmonhold.upstreams import ConnectionPool


@final
class EntryServices:
    """Shared components, and the identity of the VM they belong to."""

    __slots__ = (
        'hub',
        'incarnation',
        'link',
        'metrics',
        'pool',
        'claim_committer',
        'vm_name',
    )

    def __init__(
        self,
        hub: DispatchHub,
        link: ControlLink,
        metrics: Metrics,
        vm_name: str,
        incarnation: str,
    ) -> None:
        """Create the shared components of the entry on a VM."""
        self.hub = hub
        self.link = link
        self.metrics = metrics
        self.vm_name = vm_name
        self.incarnation = incarnation
        self.pool = ConnectionPool()
        self.claim_committer = ClaimEndCommitter(link)
