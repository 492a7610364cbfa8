"""Sends requests along routes and counts what is in flight.

Invariants: an urgent request is sent only where this entry's urgent work is
below the adaptive limit; a batch request only where all of its work is, and
where the upstream is believed to have a free place. A stopped request keeps
its count until its attempt has ended.
"""

import random
from typing import Final, final

from persimmonhold.admission._batch_gaps import BatchGaps
from persimmonhold.admission._dispatch import Dispatch
from persimmonhold.admission._dispatch_action import DispatchAction
from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._pending import Pending
from persimmonhold.admission._pending_state import PendingState
from persimmonhold.admission._preempt import Preempt
from persimmonhold.admission._upstream_use import UpstreamUse
from persimmonhold.admission._upstream_uses import UpstreamUses
from persimmonhold.catalogue import ServiceClass
from persimmonhold.routing import (
    AttemptOutcome,
    Route,
    Router,
    RouteRequest,
)

_MS_PER_S: Final = 1000


@final
class Launcher:
    """The attempts under way and the limits on them."""

    __slots__ = ('_random', '_router', '_settings', 'gaps', 'uses')

    def __init__(
        self,
        router: Router,
        settings: DispatcherSettings,
        source: random.Random,
    ) -> None:
        """Create a launcher with nothing in flight."""
        self.uses = UpstreamUses(settings)
        self.gaps = BatchGaps(router, self.uses, settings, source)
        self._random = source
        self._router = router
        self._settings = settings

    def find_route(
        self,
        pending: Pending,
        now: float,
        *,
        is_due: bool,
    ) -> Route | None:
        """Return where a request may be sent now, or None."""
        if pending.is_batch and not is_due:
            return self._find_gap(pending, now)
        full = self.uses.full(for_batch=False)
        route = self._router.choose_route(route_request(pending, full), now)
        if route is None or pending.request.is_service:
            return route
        if self._is_backed_up(pending, route.upstream, now):
            return None
        return route

    def dispatch(
        self,
        pending: Pending,
        route: Route,
        now: float,
        *,
        is_due: bool,
    ) -> list[DispatchAction]:
        """Send a request; stop a batch request that is in its way."""
        urgent = is_due or not pending.is_batch
        actions: list[DispatchAction] = []
        if urgent and self._must_preempt(pending, route.upstream, now):
            actions.extend(self._stop_batch(route.upstream, 1))
        slots = self._router.slots(route.upstream)
        pending.attempt = self._router.record_attempt_start(
            route,
            route_request(pending, frozenset()),
            now,
        )
        pending.state = PendingState.running
        self.uses.add(pending, route.upstream, slots)
        if not urgent:
            self.gaps.fill(route.upstream)
        rank = pending.request.service_class.rank
        if is_due:
            pending.is_protected = True
            rank = ServiceClass.interactive.rank
        actions.append(Dispatch(pending.request.request_id, route, rank))
        return actions

    def first_token(self, pending: Pending, now: float) -> None:
        """Learn from the first token of a request."""
        attempt = pending.attempt
        if attempt is None or attempt.first_token_at is not None:
            return
        self._router.record_first_token(attempt, now)
        if pending.is_batch:
            return
        seen_ms = (now - attempt.started_at) * _MS_PER_S
        bound_ms = pending.request.bounds.first_token_ms
        in_time = seen_ms <= bound_ms * self._settings.limit_bound_share
        self.uses.judge(attempt.route.upstream, now, in_time=in_time)

    def release(
        self,
        pending: Pending,
        outcome: AttemptOutcome,
        now: float,
    ) -> str:
        """Stop counting an attempt; return its upstream."""
        attempt = pending.attempt
        if attempt is None:
            return ''
        pending.attempt = None
        upstream = attempt.route.upstream
        self._router.record_attempt_end(attempt, outcome, now)
        if outcome.is_failure:
            self.uses.judge(upstream, now, in_time=False)
        elif pending.request.is_service:
            self.uses.judge(upstream, now, in_time=True)
        self.uses.remove(pending, upstream)
        self.gaps.free(upstream)
        return upstream

    def yield_places(self) -> list[DispatchAction]:
        """Stop batch requests where others' urgent work waits for a place.

        Each load report is answered once, with this entry's share.
        """
        actions: list[DispatchAction] = []
        for upstream, use in self.uses.by_name.items():
            if use.batch:
                actions.extend(self._yield_at(upstream, use))
        return actions

    def _find_gap(self, pending: Pending, now: float) -> Route | None:
        full = self.uses.full(for_batch=True)
        if not pending.request.is_service:
            names = self._router.target_subset(pending.request.target)
            closed = {
                name for name in names if not self.gaps.has_one(name, now)
            }
            if len(closed) == len(names):
                return None
            full |= closed
        return self._router.choose_route(route_request(pending, full), now)

    def _is_backed_up(
        self, pending: Pending, upstream: str, now: float
    ) -> bool:
        """Tell whether a request would wait at the upstream for too long.

        An upstream without a request of this entry is always tried, since
        its reports may be wrong.
        """
        use = self.uses.by_name.get(upstream)
        if use is None or not use.in_flight or use.preemptible():
            return False
        share = self._settings.upstream_wait_share
        permitted_ms = pending.request.bounds.first_token_ms * share
        return self._router.wait_ms(upstream, now) > permitted_ms

    def _must_preempt(
        self,
        pending: Pending,
        upstream: str,
        now: float,
    ) -> bool:
        """Tell whether a place would not come free soon enough by itself."""
        use = self.uses.by_name.get(upstream)
        if use is None or not use.batch:
            return False
        share = self._settings.preemption_wait_share
        permitted_ms = pending.request.bounds.first_token_ms * share
        return self._router.wait_ms(upstream, now) > permitted_ms

    def _stop_batch(self, upstream: str, count: int) -> list[DispatchAction]:
        use = self.uses.by_name[upstream]
        actions: list[DispatchAction] = []
        for _ in range(count):
            victim = use.preemptible()
            if victim is None:
                break
            victim.state = PendingState.stopping
            actions.append(Preempt(victim.request.request_id))
        return actions

    def _yield_at(
        self,
        upstream: str,
        use: UpstreamUse,
    ) -> list[DispatchAction]:
        state = self._router.upstream_states.get(upstream)
        report = state.load.report if state else None
        if state is None or report is None or not report.waiting:
            return []
        if state.load.made_at <= use.yielded_to:
            return []
        use.yielded_to = state.load.made_at
        ends_per_s = report.slots / state.load.residence_s
        permitted = ends_per_s * self._settings.yield_wait_s
        share = len(use.batch) / max(1, report.running)
        lacking = report.running + report.waiting - report.slots
        excess = (lacking - permitted) * share
        return self._stop_batch(upstream, int(excess + self._random.random()))


def route_request(pending: Pending, full: frozenset[str]) -> RouteRequest:
    """Return what the router has to know of a request."""
    request = pending.request
    return RouteRequest(
        target=request.target,
        service_class=request.service_class,
        base=request.base,
        is_service=request.is_service,
        prompt_tokens=request.prompt_tokens + pending.delivered_tokens,
        prefix_hashes=request.prefixes,
        excluded=pending.excluded,
        full=full,
    )
