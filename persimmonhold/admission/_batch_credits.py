"""Credits that limit how many free slots an entry fills with batch work.

All entries see the same free slots in a load report. Each entry claims its
share of them as credits, rounded at random, so that all entries together
fill each slot about once. A slot freed by one of the entry's own requests
may be refilled at once. A share of the slots stays free for urgent work,
which saves preemptions.
"""

import random
from typing import final

from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._upstream_uses import UpstreamUses
from persimmonhold.routing import Router


@final
class BatchCredits:
    """Tracks the credits for batch requests at each upstream."""

    __slots__ = ('_rng', '_router', '_settings', '_uses')

    def __init__(
        self,
        router: Router,
        uses: UpstreamUses,
        settings: DispatcherSettings,
        rng: random.Random,
    ) -> None:
        """Create credits that are renewed by the router's load reports."""
        self._router = router
        self._uses = uses
        self._settings = settings
        self._rng = rng

    def has_credit(self, upstream: str, now: float) -> bool:
        """Return whether a batch request may be sent to an upstream."""
        state = self._router.upstream_states.get(upstream)
        if state is None:
            return False
        load = state.load
        use = self._uses.get_or_create(upstream, load.slots)
        fillable = load.slots * (1 - self._settings.batch_reserved_share)
        free = fillable - load.estimated_requests(now)
        if load.made_at != use.credits_report_at:
            use.credits_report_at = load.made_at
            share = max(0, free) / self._uses.entry_count
            use.credits = int(share + self._rng.random())
        if now < use.batch_paused_until:
            return False
        return use.credits > 0 and free > 0

    def pause(self, target: str, now: float) -> None:
        """Send no batch requests to the upstreams of a target for a while."""
        until = now + self._settings.batch_pause_s
        for upstream in self._router.target_subset(target):
            slots = self._router.slots(upstream)
            use = self._uses.get_or_create(upstream, slots)
            use.batch_paused_until = until

    def spend(self, upstream: str) -> None:
        """Use up one credit of an upstream."""
        self._uses.by_name[upstream].credits -= 1

    def earn(self, upstream: str) -> None:
        """Add a credit after one of this entry's requests has ended."""
        use = self._uses.by_name.get(upstream)
        if use:
            use.credits += 1
