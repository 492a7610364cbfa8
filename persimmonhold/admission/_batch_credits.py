"""Credits that limit how many batch requests an entry sends to an upstream.

All entries see the same free slots in a load report. Each entry takes an
equal share of them as credits, rounded at random, so that all entries
together fill each slot about once. A request of this entry that ends adds a
credit, so that its slot can be refilled at once. A share of the slots stays
free for urgent requests, which saves preemptions.
"""

import random
from typing import final

from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._upstream_usage_table import UpstreamUsageTable
from persimmonhold.routing import Router


@final
class BatchCredits:
    """Tracks the credits for batch requests at each upstream."""

    __slots__ = ('_rng', '_router', '_settings', '_usage_table')

    def __init__(
        self,
        router: Router,
        usage_table: UpstreamUsageTable,
        settings: DispatcherSettings,
        rng: random.Random,
    ) -> None:
        """Create credits that are renewed by the router's load reports."""
        self._router = router
        self._usage_table = usage_table
        self._settings = settings
        self._rng = rng

    def renew_and_check_credit(self, upstream: str, now: float) -> bool:
        """Renew the credits; return whether a batch request may be sent.

        A new load report of the upstream replaces its credits. Returns False
        if no credit is left, while batch requests are paused at the upstream,
        or if no slot outside the reserved share is expected to be free.
        """
        state = self._router.upstream_states.get(upstream)
        if state is None:
            return False
        load = state.load
        usage = self._usage_table.get_or_create(upstream, load.slots)
        fillable = load.slots * (1 - self._settings.batch_reserved_share)
        free = fillable - load.estimated_requests(now)
        if load.report_made_at != usage.credits_report_made_at:
            usage.credits_report_made_at = load.report_made_at
            share = max(0, free) / self._usage_table.entry_count
            usage.batch_credits = int(share + self._rng.random())
        if now < usage.batch_paused_until:
            return False
        return usage.batch_credits > 0 and free > 0

    def pause_target(self, target: str, now: float) -> None:
        """Pause batch requests at a target's upstreams for `batch_pause_s`."""
        until = now + self._settings.batch_pause_s
        for upstream in self._router.subset_upstream_names(target):
            slots = self._router.slot_count(upstream)
            usage = self._usage_table.get_or_create(upstream, slots)
            usage.batch_paused_until = until

    def spend_credit(self, upstream: str) -> None:
        """Spend a credit for a batch request that is sent to an upstream."""
        self._usage_table.by_name[upstream].batch_credits -= 1

    def add_credit(self, upstream: str) -> None:
        """Add a credit after one of this entry's requests has ended."""
        usage = self._usage_table.by_name.get(upstream)
        if usage:
            usage.batch_credits += 1
