"""The requests that one entry has in flight, by upstream.

Invariant: between calls, the sets of full upstreams agree with the counts
and limits of each upstream.
"""

from typing import Final, final

from persimmonhold.admission._concurrency_limit import ConcurrencyLimit
from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._pending_request import PendingRequest
from persimmonhold.admission._upstream_usage import UpstreamUsage

# Maximum of the adaptive limit: requests in flight per slot of the upstream.
_MAX_REQUESTS_PER_SLOT: Final = 2


@final
class UpstreamUsageTable:
    """The usage of every upstream by one entry.

    `by_name` maps the name of an upstream to its requests in flight and its
    limits. `entry_count` is the number of entries that share the upstreams.
    """

    __slots__ = (
        '_full_for_batch',
        '_full_for_urgent',
        '_settings',
        'by_name',
        'entry_count',
    )

    def __init__(self, settings: DispatcherSettings) -> None:
        """Create the state of an entry with no request in flight."""
        self.entry_count = 1
        self.by_name: dict[str, UpstreamUsage] = {}
        self._full_for_batch: frozenset[str] = frozenset()
        self._full_for_urgent: frozenset[str] = frozenset()
        self._settings = settings

    def full_upstreams(self, *, for_batch: bool) -> frozenset[str]:
        """Return the upstreams whose adaptive limit permits no more requests.

        With `for_batch`, these are the upstreams that are full for batch
        requests, else those that are full for urgent requests.
        """
        return self._full_for_batch if for_batch else self._full_for_urgent

    def get_or_create(self, upstream: str, slots: int) -> UpstreamUsage:
        """Return the usage of an upstream with `slots` slots.

        It is created at the first call for the upstream.
        """
        usage = self.by_name.get(upstream)
        if usage is None:
            ceiling = _MAX_REQUESTS_PER_SLOT * slots
            limit = ConcurrencyLimit(slots, ceiling, self._settings)
            usage = UpstreamUsage(limit)
            self.by_name[upstream] = usage
        return usage

    def add_request(
        self, pending: PendingRequest, upstream: str, slots: int
    ) -> None:
        """Count a request sent to an upstream that has `slots` slots."""
        usage = self.get_or_create(upstream, slots)
        usage.add_request(pending)
        self._update_full_sets(upstream, usage)

    def remove_request(self, pending: PendingRequest, upstream: str) -> None:
        """Stop counting a request whose attempt at the upstream ended."""
        usage = self.by_name.get(upstream)
        if usage:
            usage.remove_request(pending)
            self._update_full_sets(upstream, usage)

    def update_limit(
        self, upstream: str, now: float, *, is_timely: bool
    ) -> None:
        """Raise or lower the concurrency limit of an upstream.

        A timely answer raises it if enough of it is in use; a late answer or a
        failed attempt (`is_timely` False) lowers it.
        """
        usage = self.by_name.get(upstream)
        if usage is None:
            return
        if is_timely:
            usage.limit.record_success(usage.in_flight)
        else:
            usage.limit.record_failure(now)
        self._update_full_sets(upstream, usage)

    def remove_idle_except(self, upstreams: frozenset[str]) -> None:
        """Drop the idle upstreams that are not in `upstreams`.

        An upstream is idle if it has no request of this entry in flight.
        """
        gone = [
            name
            for name, usage in self.by_name.items()
            if name not in upstreams and not usage.in_flight
        ]
        for name in gone:
            self.by_name.pop(name)
        self._full_for_batch -= frozenset(gone)
        self._full_for_urgent -= frozenset(gone)

    def _update_full_sets(self, upstream: str, usage: UpstreamUsage) -> None:
        own = frozenset((upstream,))
        if usage.is_full(for_batch=True) != (upstream in self._full_for_batch):
            self._full_for_batch ^= own
        if usage.is_full(for_batch=False) != (
            upstream in self._full_for_urgent
        ):
            self._full_for_urgent ^= own
