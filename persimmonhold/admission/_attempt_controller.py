"""Starts attempts at upstreams, counts them and preempts batch requests.

Invariants: an urgent request is sent only to an upstream at which this
entry's urgent requests are below the adaptive limit. A batch request is sent
only where all of this entry's requests are below the limit and the upstream
is expected to have a free slot. A preempted request is counted until its
attempt has ended.
"""

import random
from typing import Final, final

from persimmonhold.admission._batch_credits import BatchCredits
from persimmonhold.admission._dispatch import Dispatch
from persimmonhold.admission._dispatch_action import DispatchAction
from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._pending_request import PendingRequest
from persimmonhold.admission._pending_state import PendingState
from persimmonhold.admission._preempt import Preempt
from persimmonhold.admission._upstream_usage import UpstreamUsage
from persimmonhold.admission._upstream_usage_table import UpstreamUsageTable
from persimmonhold.catalogue import ServiceClass
from persimmonhold.routing import (
    AttemptOutcome,
    Route,
    Router,
    RouteRequest,
)

_MS_PER_S: Final = 1000


@final
class AttemptController:
    """Starts, counts and preempts the attempts of one entry.

    Enforces the adaptive limit of each upstream and, for batch requests, the
    batch credits.
    """

    __slots__ = ('_rng', '_router', '_settings', 'batch_credits', 'usage_table')

    def __init__(
        self,
        router: Router,
        settings: DispatcherSettings,
        rng: random.Random,
    ) -> None:
        """Create a controller with no attempt in flight."""
        self.usage_table = UpstreamUsageTable(settings)
        self.batch_credits = BatchCredits(
            router, self.usage_table, settings, rng
        )
        self._rng = rng
        self._router = router
        self._settings = settings

    def find_route(
        self,
        pending: PendingRequest,
        now: float,
        *,
        is_promoted: bool,
    ) -> Route | None:
        """Return the route on which a request may be sent now, or None.

        `is_promoted` is set for a batch request that is treated as urgent
        because of its age. An urgent request for a model gets no route if it
        would have to wait too long for a slot at the chosen upstream.
        """
        if pending.is_batch and not is_promoted:
            return self._find_batch_route(pending, now)
        full_upstreams = self.usage_table.full_upstreams(for_batch=False)
        route = self._router.choose_route(
            build_route_request(pending, full_upstreams), now
        )
        if route is None or pending.request.is_service:
            return route
        if self._has_long_upstream_wait(pending, route.upstream, now):
            return None
        return route

    def start_attempt(
        self,
        pending: PendingRequest,
        route: Route,
        now: float,
        *,
        is_promoted: bool,
    ) -> list[DispatchAction]:
        """Record an attempt that starts; return the actions that start it.

        Preempts a batch request if an urgent request would otherwise wait too
        long for a slot. A promoted batch request gets the highest priority and
        is not preempted itself.
        """
        is_urgent = is_promoted or not pending.is_batch
        actions: list[DispatchAction] = []
        if is_urgent and self._must_preempt(pending, route.upstream, now):
            actions.extend(self._preempt_batch_requests(route.upstream, 1))
        slots = self._router.slot_count(route.upstream)
        pending.attempt = self._router.record_attempt_start(
            route,
            build_route_request(pending, frozenset()),
            now,
        )
        pending.state = PendingState.running
        self.usage_table.add_request(pending, route.upstream, slots)
        if not is_urgent:
            self.batch_credits.spend_credit(route.upstream)
        rank = pending.request.service_class.rank
        if is_promoted:
            pending.is_protected = True
            rank = ServiceClass.interactive.rank
        actions.append(Dispatch(pending.request.request_id, route, rank))
        return actions

    def record_first_token(self, pending: PendingRequest, now: float) -> None:
        """Record the first token of a request's current attempt.

        For an urgent request, also raises the adaptive limit of the upstream
        if the token is timely, or lowers it if the token is late. Further
        calls for the same attempt have no effect.
        """
        attempt = pending.attempt
        if attempt is None or attempt.first_token_at is not None:
            return
        self._router.record_first_token(attempt, now)
        if pending.is_batch:
            return
        seen_ms = (now - attempt.started_at) * _MS_PER_S
        bound_ms = pending.request.bounds.first_token_ms
        is_timely = seen_ms <= bound_ms * self._settings.limit_first_token_share
        self.usage_table.update_limit(
            attempt.route.upstream, now, is_timely=is_timely
        )

    def end_attempt(
        self,
        pending: PendingRequest,
        outcome: AttemptOutcome,
        now: float,
    ) -> str:
        """Stop counting a request's attempt; return the name of its upstream.

        Also updates the health, adaptive limit and batch credits of the
        upstream. Returns an empty string if the request has no attempt.
        """
        attempt = pending.attempt
        if attempt is None:
            return ''
        pending.attempt = None
        upstream = attempt.route.upstream
        self._router.record_attempt_end(attempt, outcome, now)
        if outcome.is_failure:
            self.usage_table.update_limit(upstream, now, is_timely=False)
        elif pending.request.is_service:
            self.usage_table.update_limit(upstream, now, is_timely=True)
        self.usage_table.remove_request(pending, upstream)
        self.batch_credits.add_credit(upstream)
        return upstream

    def preempt_for_queued_work(self) -> list[DispatchAction]:
        """Preempt batch requests at upstreams that report queued requests.

        The queued requests may come from other entries. Each load report is
        considered once. Each entry preempts a part of the necessary number
        that corresponds to its share of the upstream's running requests.
        """
        actions: list[DispatchAction] = []
        for upstream, usage in self.usage_table.by_name.items():
            if usage.batch_requests:
                actions.extend(
                    self._preempt_for_queued_work_at(upstream, usage)
                )
        return actions

    def _find_batch_route(
        self, pending: PendingRequest, now: float
    ) -> Route | None:
        """Return a route for a batch request that is not promoted, or None.

        A request for a model needs a batch credit at the upstream.
        """
        full_upstreams = self.usage_table.full_upstreams(for_batch=True)
        if not pending.request.is_service:
            names = self._router.subset_upstream_names(pending.request.target)
            without_credit = {
                name
                for name in names
                if not self.batch_credits.renew_and_check_credit(name, now)
            }
            if len(without_credit) == len(names):
                return None
            full_upstreams |= without_credit
        return self._router.choose_route(
            build_route_request(pending, full_upstreams), now
        )

    def _has_long_upstream_wait(
        self, pending: PendingRequest, upstream: str, now: float
    ) -> bool:
        """Return whether a request would wait too long for a slot.

        Returns False if a batch request of this entry can be preempted there.
        Also returns False if this entry has no request in flight there: such
        an upstream is always tried, because its load reports may be wrong.
        """
        usage = self.usage_table.by_name.get(upstream)
        if usage is None or not usage.in_flight or usage.find_preemptible():
            return False
        share = self._settings.upstream_wait_share
        permitted_ms = pending.request.bounds.first_token_ms * share
        return self._router.slot_wait_ms(upstream, now) > permitted_ms

    def _must_preempt(
        self,
        pending: PendingRequest,
        upstream: str,
        now: float,
    ) -> bool:
        """Return whether an urgent request needs a batch request preempted.

        True if this entry has batch requests at the upstream and the expected
        wait for a slot exceeds `preemption_wait_share` of the first-token
        bound.
        """
        usage = self.usage_table.by_name.get(upstream)
        if usage is None or not usage.batch_requests:
            return False
        share = self._settings.preemption_wait_share
        permitted_ms = pending.request.bounds.first_token_ms * share
        return self._router.slot_wait_ms(upstream, now) > permitted_ms

    def _preempt_batch_requests(
        self, upstream: str, count: int
    ) -> list[DispatchAction]:
        """Preempt up to `count` batch requests, the one started last first."""
        usage = self.usage_table.by_name[upstream]
        actions: list[DispatchAction] = []
        for _ in range(count):
            victim = usage.find_preemptible()
            if victim is None:
                break
            victim.state = PendingState.stopping
            actions.append(Preempt(victim.request.request_id))
        return actions

    def _preempt_for_queued_work_at(
        self,
        upstream: str,
        usage: UpstreamUsage,
    ) -> list[DispatchAction]:
        """Preempt this entry's share of the excess in a new load report.

        The excess is the requests beyond the slots that cannot start within
        `tolerated_upstream_wait_s`. The share is rounded at random, so that
        the entries together preempt about the excess.
        """
        state = self._router.upstream_states.get(upstream)
        report = state.load.report if state else None
        if state is None or report is None or not report.waiting:
            return []
        if state.load.report_made_at <= usage.preemption_report_made_at:
            return []
        usage.preemption_report_made_at = state.load.report_made_at
        ends_per_s = report.slots / state.load.residence_s
        permitted = ends_per_s * self._settings.tolerated_upstream_wait_s
        share = len(usage.batch_requests) / max(1, report.running)
        lacking = report.running + report.waiting - report.slots
        excess = (lacking - permitted) * share
        return self._preempt_batch_requests(
            upstream, int(excess + self._rng.random())
        )


def build_route_request(
    pending: PendingRequest, full_upstreams: frozenset[str]
) -> RouteRequest:
    """Return the properties of a request that the router chooses by.

    `full_upstreams` accept no more requests of the request's class now.
    Tokens that were already delivered count as part of the prompt.
    """
    request = pending.request
    return RouteRequest(
        target=request.target,
        service_class=request.service_class,
        base=request.base,
        is_service=request.is_service,
        prompt_tokens=request.prompt_tokens + pending.delivered_tokens,
        prefix_hashes=request.prefix_hashes,
        excluded_upstreams=pending.excluded_upstreams,
        full_upstreams=full_upstreams,
    )
