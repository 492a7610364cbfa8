"""The requests that one entry has in flight, by upstream.

Invariant: between calls, the sets of full upstreams agree with the counts
and limits.
"""

from typing import Final, final

from persimmonhold.admission._concurrency_limit import ConcurrencyLimit
from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._pending_request import PendingRequest
from persimmonhold.admission._upstream_use import UpstreamUse

_MAX_REQUESTS_PER_SLOT: Final = 2


@final
class UpstreamUses:
    """Upstream uses by upstream name.

    `entry_count` is the number of entries that share the upstreams.
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
        self.by_name: dict[str, UpstreamUse] = {}
        self._full_for_batch: frozenset[str] = frozenset()
        self._full_for_urgent: frozenset[str] = frozenset()
        self._settings = settings

    def full_upstreams(self, *, for_batch: bool) -> frozenset[str]:
        """Return the upstreams that accept no more batch or urgent work."""
        return self._full_for_batch if for_batch else self._full_for_urgent

    def get_or_create(self, upstream: str, slots: int) -> UpstreamUse:
        """Return the use of an upstream, created on first use."""
        use = self.by_name.get(upstream)
        if use is None:
            ceiling = _MAX_REQUESTS_PER_SLOT * slots
            limit = ConcurrencyLimit(slots, ceiling, self._settings)
            use = UpstreamUse(limit)
            self.by_name[upstream] = use
        return use

    def add(self, pending: PendingRequest, upstream: str, slots: int) -> None:
        """Count a request sent to an upstream that has `slots` slots."""
        use = self.get_or_create(upstream, slots)
        use.add(pending)
        self._update_full_sets(upstream, use)

    def remove(self, pending: PendingRequest, upstream: str) -> None:
        """Stop counting a request."""
        use = self.by_name.get(upstream)
        if use:
            use.remove(pending)
            self._update_full_sets(upstream, use)

    def update_limit(
        self, upstream: str, now: float, *, is_timely: bool
    ) -> None:
        """Adapt the limit of an upstream to a timely or late answer."""
        use = self.by_name.get(upstream)
        if use is None:
            return
        if is_timely:
            use.limit.record_success(use.in_flight)
        else:
            use.limit.record_failure(now)
        self._update_full_sets(upstream, use)

    def remove_idle_except(self, upstreams: frozenset[str]) -> None:
        """Remove idle upstreams that are not among the given ones."""
        gone = [
            name
            for name, use in self.by_name.items()
            if name not in upstreams and not use.in_flight
        ]
        for name in gone:
            self.by_name.pop(name)
        self._full_for_batch -= frozenset(gone)
        self._full_for_urgent -= frozenset(gone)

    def _update_full_sets(self, upstream: str, use: UpstreamUse) -> None:
        own = frozenset((upstream,))
        if use.is_full(for_batch=True) != (upstream in self._full_for_batch):
            self._full_for_batch ^= own
        if use.is_full(for_batch=False) != (upstream in self._full_for_urgent):
            self._full_for_urgent ^= own
