"""Decides whether an entry is cut off from all upstreams of a service.

One upstream out of reach may be down. So two have to be, with no connection
opened in between, before the entry probes further ones; the service is out of
reach only if all probes fail as well. It is in reach again with the next
connection that opens. Kept connections prove nothing: they may live on while no
new one opens.
"""

from typing import Final, final

from persimmonhold.reach._service_reach import ServiceReach

OUT_OF_REACH: Final = 'out_of_reach'  # reason of refusals
# Failures further apart do not hint at a common cause.
_MAX_EVIDENCE_AGE_S: Final = 2.0
_MIN_FAILED_UPSTREAMS: Final = 2


@final
class ReachMonitor:
    """Tracks which services an entry reaches; `services` has them by name."""

    __slots__ = ('services',)

    def __init__(self) -> None:
        """Create a monitor without evidence."""
        self.services: dict[str, ServiceReach] = {}

    def is_lost(self, service: str) -> bool:
        """Tell whether none of the service's upstreams is in reach."""
        found = self.services.get(service)
        return found is not None and found.lost_at is not None

    def record_connected(self, service: str) -> None:
        """Record that a new connection to an upstream was opened."""
        found = self.services.get(service)
        if found is not None:
            found.failed_at.clear()
            found.lost_at = None

    def record_failure(
        self, service: str, upstream: str, upstream_count: int, now: float
    ) -> bool:
        """Record an upstream out of reach; return whether to probe others.

        The service has `upstream_count` upstreams.
        """
        found = self.services.setdefault(service, ServiceReach())
        horizon = now - _MAX_EVIDENCE_AGE_S
        found.failed_at = {
            name: failed_at
            for name, failed_at in found.failed_at.items()
            if failed_at > horizon
        }
        found.failed_at[upstream] = now
        if found.is_probed:
            return False
        needed = min(_MIN_FAILED_UPSTREAMS, upstream_count)
        return len(found.failed_at) >= needed

    def begin_probing(self, service: str) -> None:
        """Record that probes of a service are under way."""
        self.services.setdefault(service, ServiceReach()).is_probed = True

    def end_probing(self, service: str) -> None:
        """Record that no probe of a service is under way, and none failed."""
        self.services[service].is_probed = False
        self.record_connected(service)

    def record_lost(self, service: str, now: float) -> bool:
        """Record that all probes failed; return whether that is new."""
        found = self.services[service]
        is_new = found.lost_at is None
        if is_new:
            found.lost_at = now
        return is_new
