"""The free places that batch requests may fill.

All entries see the same free places in a report. Each takes its share of
them as credits, rounded at random, so that together they fill the places
once; places that end with an own request may be filled again at once. Some
places stay free for urgent work, which saves preemptions.
"""

import random
from typing import final

from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._upstream_uses import UpstreamUses
from persimmonhold.routing import Router


@final
class BatchGaps:
    """Credits for batch requests by upstream."""

    __slots__ = ('_random', '_router', '_settings', '_uses')

    def __init__(
        self,
        router: Router,
        uses: UpstreamUses,
        settings: DispatcherSettings,
        source: random.Random,
    ) -> None:
        """Create credits that follow the router's load reports."""
        self._router = router
        self._uses = uses
        self._settings = settings
        self._random = source

    def has_one(self, upstream: str, now: float) -> bool:
        """Tell whether a batch request may be sent to an upstream."""
        state = self._router.upstream_states.get(upstream)
        if state is None:
            return False
        load = state.load
        use = self._uses.use_of(upstream, load.slots)
        fillable = load.slots * (1 - self._settings.batch_reserve)
        free = fillable - load.estimated_requests(now)
        if load.made_at != use.credit_at:
            use.credit_at = load.made_at
            share = max(0, free) / self._uses.entries
            use.credits = int(share + self._random.random())
        if now < use.batch_paused_until:
            return False
        return use.credits > 0 and free > 0

    def pause(self, target: str, now: float) -> None:
        """Leave the upstreams of a target to urgent work for a while."""
        until = now + self._settings.batch_pause_s
        for upstream in self._router.target_subset(target):
            slots = self._router.slots(upstream)
            use = self._uses.use_of(upstream, slots)
            use.batch_paused_until = until

    def fill(self, upstream: str) -> None:
        """Spend a credit."""
        self._uses.by_name[upstream].credits -= 1

    def free(self, upstream: str) -> None:
        """Earn a credit by the end of an own request."""
        use = self._uses.by_name.get(upstream)
        if use:
            use.credits += 1
