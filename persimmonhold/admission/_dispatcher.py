"""Decides when and where each request is sent, or refuses it.

The dispatcher combines the router with queues by target and service class.
Urgent (non-batch) requests go first. Callers get fair shares measured in
tokens, and the requests of one caller are ordered by earliest deadline.
Batch requests fill free slots and are preempted for urgent requests. Those
that have waited for `batch_aging_s` get a reserved share of the dispatches.

Invariants: each request ends in exactly one of `end_request`,
`abandon_request` or a refusal. A request that is dropped is refused in the
same call. All state is bounded by the admitted requests, the catalogue and
the settings. A non-idempotent request that may have run is never sent again.
"""

import random
from collections.abc import Mapping
from typing import Final, final

from persimmonhold.admission._admission_request import AdmissionRequest
from persimmonhold.admission._attempt_controller import AttemptController
from persimmonhold.admission._demand_meter import DemandMeter
from persimmonhold.admission._dispatch_action import DispatchAction
from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._limit_usage import LimitUsage
from persimmonhold.admission._pending_request import PendingRequest
from persimmonhold.admission._pending_state import PendingState
from persimmonhold.admission._refusal_text import REFUSAL_DETAILS
from persimmonhold.admission._refuse import Refuse
from persimmonhold.admission._request_queues import RequestQueues
from persimmonhold.admission._retry_budget import RetryBudget
from persimmonhold.admission._retry_reason import RetryReason
from persimmonhold.admission._scheduler import Scheduler
from persimmonhold.admission._wait_estimator import WaitEstimator
from persimmonhold.catalogue import ServiceClass
from persimmonhold.failures import Ran, Refusal, RefusalReason
from persimmonhold.messages import Demand
from persimmonhold.routing import AttemptOutcome, Router

# A suggested retry delay is lengthened by a random share of up to this value,
# so that refused callers do not all return at once.
_RETRY_AFTER_JITTER: Final = 0.1
# Refusals for these reasons are counted as demand that was not served.
_CAPACITY_REASONS: Final = frozenset((
    RefusalReason.no_capacity,
    RefusalReason.no_upstream,
    RefusalReason.queue_full,
    RefusalReason.deadline_unreachable,
    RefusalReason.deadline_exceeded,
))
# Refusals for these reasons suggest no retry.
_FINAL_REASONS: Final = frozenset((
    RefusalReason.outcome_unknown,
    RefusalReason.unknown_model,
    RefusalReason.unknown_service,
))


@final
class Dispatcher:
    """Admits, queues, dispatches and refuses the requests of one entry."""

    __slots__ = (
        '_attempt_controller',
        '_demand_meter',
        '_wait_estimator',
        '_limit_usage',
        '_pending_by_id',
        '_queues',
        '_retry_budget',
        '_rng',
        '_router',
        '_scheduler',
        '_sequence',
        '_settings',
    )

    def __init__(
        self,
        router: Router,
        settings: DispatcherSettings,
        rng: random.Random,
    ) -> None:
        """Create a dispatcher without requests."""
        self._router = router
        self._settings = settings
        self._rng = rng
        self._retry_budget = RetryBudget(
            settings.retry_ratio, settings.retry_burst
        )
        self._demand_meter = DemandMeter(settings.demand_period_s)
        self._queues = RequestQueues(settings)
        self._limit_usage = LimitUsage(settings)
        self._attempt_controller = AttemptController(router, settings, rng)
        self._wait_estimator = WaitEstimator(router, self._queues, settings)
        self._pending_by_id: dict[str, PendingRequest] = {}
        self._sequence = 0
        self._scheduler = Scheduler(
            self._queues,
            self._attempt_controller,
            self._wait_estimator,
            settings,
        )

    def submit(
        self, request: AdmissionRequest, now: float
    ) -> tuple[DispatchAction, ...]:
        """Dispatch, queue or refuse a new request; its id must be unused."""
        self._demand_meter.record_arrival(request, now)
        self._sequence += 1
        pending = PendingRequest(request, self._sequence, now)
        reason = self._limit_usage.check_limits_and_consume_rate(request, now)
        if reason is not None:
            retry_after_s = self._limit_usage.retry_after_s(request, now)
            return (self._build_refusal(pending, reason, retry_after_s),)
        self._limit_usage.add_request(request)
        self._pending_by_id[request.request_id] = pending
        return tuple(self._dispatch_or_enqueue(pending, now))

    def retry_request(
        self,
        request_id: str,
        failed_upstream: str,
        reason: RetryReason,
        now: float,
    ) -> tuple[DispatchAction, ...]:
        """Retry a request at another upstream after a failed attempt.

        Refuses the request if it must not be retried.
        """
        pending = _find_running(self._pending_by_id, request_id)
        if pending is None:
            return ()
        freed = self._end_attempt(pending, reason.outcome, now)
        pending.excluded_upstreams |= {failed_upstream}
        if not reason.is_certainly_not_run:
            pending.ran = Ran.unknown
        refused = self._authorize_retry(pending, now)
        if refused is None:
            actions = self._dispatch_or_enqueue(pending, now)
        else:
            actions = [self._remove_and_refuse(pending, refused, now)]
        return (*actions, *self._scheduler.dispatch_waiting(freed, now))

    def can_move(self, request_id: str, upstream: str, now: float) -> bool:
        """Tell whether a running request could be sent to another upstream.

        A retry must be left, and a planned stop must leave time for it.
        """
        pending = _find_running(self._pending_by_id, request_id)
        if pending is None or self._retry_budget.level < 1:
            return False
        if now > self._wait_estimator.send_before_stop(pending, now):
            return False
        excluded = pending.excluded_upstreams
        pending.excluded_upstreams = excluded | {upstream}
        route = self._attempt_controller.find_route(
            pending, now, is_promoted=False
        )
        pending.excluded_upstreams = excluded
        return route is not None

    def requeue_preempted(
        self,
        request_id: str,
        delivered_tokens: int,
        now: float,
    ) -> tuple[DispatchAction, ...]:
        """Queue a batch request again whose attempt was preempted.

        `delivered_tokens` have already been sent to the caller. After
        `max_preemptions` preemptions the request is not preempted again.
        """
        pending = _find_running(self._pending_by_id, request_id)
        if pending is None:
            return ()
        freed = self._end_attempt(pending, AttemptOutcome.cancelled, now)
        pending.delivered_tokens = delivered_tokens
        pending.preemption_count += 1
        if pending.preemption_count >= self._settings.max_preemptions:
            pending.is_protected = True
        return (
            *self._scheduler.dispatch_waiting(freed, now),
            *self._dispatch_or_enqueue(pending, now),
        )

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record that the first token of a running request has arrived."""
        pending = _find_running(self._pending_by_id, request_id)
        if pending:
            self._attempt_controller.record_first_token(pending, now)

    def end_request(
        self,
        request_id: str,
        outcome: AttemptOutcome,
        now: float,
    ) -> tuple[DispatchAction, ...]:
        """Remove a running request whose last attempt ended with `outcome`.

        A completed request adds to the retry budget. Returns the dispatches
        of waiting requests that fit now.
        """
        pending = _find_running(self._pending_by_id, request_id)
        if pending is None:
            return ()
        freed = self._end_attempt(pending, outcome, now)
        self._remove_request(pending, now)
        if outcome is AttemptOutcome.completed:
            self._retry_budget.record_success()
        return tuple(self._scheduler.dispatch_waiting(freed, now))

    def abandon_request(
        self,
        request_id: str,
        now: float,
    ) -> tuple[DispatchAction, ...]:
        """Remove a waiting or running request that is no longer wanted.

        Returns the dispatches of waiting requests that fit now.
        """
        pending = self._pending_by_id.get(request_id)
        if pending is None:
            return ()
        if pending.state is PendingState.waiting:
            self._queues.remove_request(pending)
            self._remove_request(pending, now)
            return ()
        return self.end_request(request_id, AttemptOutcome.cancelled, now)

    def handle_view_change(self, now: float) -> tuple[DispatchAction, ...]:
        """Update limits and queues after the router has applied a new view.

        Refuses the waiting requests whose target has left the catalogue,
        computes new expiry times where a target has lost or gained its
        upstreams, and dispatches the waiting requests that fit now.
        """
        view = self._router.view
        entries = sum(bool(vm.callers) and not vm.draining for vm in view.vms)
        self._limit_usage.entry_count = max(1, entries)
        self._attempt_controller.usage_table.entry_count = max(1, entries)
        self._attempt_controller.usage_table.remove_idle_except(
            frozenset(self._router.upstream_states)
        )
        names = frozenset(view.catalogue.entries)
        self._limit_usage.retain_targets(names)
        self._wait_estimator.retain_targets(names)
        actions: list[DispatchAction] = []
        for pending in self._queues.list_waiting():
            if pending.request.target not in names:
                self._queues.remove_request(pending)
                actions.append(
                    self._remove_and_refuse(
                        pending, _unknown_target_reason(pending), now
                    )
                )
            elif self._wait_estimator.has_availability_changed(pending, now):
                pending.expires_at = self._wait_estimator.update_expiry(
                    pending, now
                )
                self._queues.schedule_expiry(pending)
        return (*actions, *self._scheduler.dispatch_waiting(None, now))

    def tick(self, now: float) -> tuple[DispatchAction, ...]:
        """Do the periodic work; see `next_wakeup` for when it is due.

        Refuses expired requests, preempts batch requests where upstreams
        report queued ones, and dispatches waiting requests that fit now. An
        expired request whose target has lost or gained its upstreams is
        queued with a new expiry instead, if its new wait is acceptable.
        """
        actions: list[DispatchAction] = []
        for pending in self._queues.pop_expired(now):
            if self._wait_estimator.has_availability_changed(pending, now):
                actions.extend(self._enqueue_or_refuse(pending, now))
            else:
                reason = self._find_expiry_reason(pending, now)
                actions.append(self._remove_and_refuse(pending, reason, now))
        actions.extend(self._attempt_controller.preempt_for_queued_work())
        actions.extend(self._scheduler.dispatch_waiting(None, now))
        return tuple(actions)

    def next_wakeup(self) -> float | None:
        """Return when `tick` must be called, in seconds of the clock.

        Returns None while no request waits and no batch request is admitted.
        """
        if (
            not self._queues
            and not self._limit_usage.class_counts[ServiceClass.batch]
        ):
            return None
        scan_at = (
            self._scheduler.last_full_scan_at + self._settings.scan_interval_s
        )
        expiry = self._queues.next_expiry()
        return scan_at if expiry is None else min(expiry, scan_at)

    def plan_stop(
        self, stops_at: float, now: float
    ) -> tuple[DispatchAction, ...]:
        """Have all responses end by `stops_at`.

        Waiting requests that cannot be served by then are refused now.
        """
        self._wait_estimator.stops_at = stops_at
        waiting = sorted(self._queues.list_waiting(), key=_dispatch_order)
        ahead = dict.fromkeys(self._queues.by_target, 0)
        actions: list[DispatchAction] = []
        for pending in waiting:
            target = pending.request.target
            wait_s = self._wait_estimator.dispatch_interval_s(target, now) * (
                ahead[target] + 1
            )
            latest = self._wait_estimator.send_before_stop(pending, now)
            if now + wait_s > latest:
                self._queues.remove_request(pending)
                reason = RefusalReason.draining
                actions.append(self._remove_and_refuse(pending, reason, now))
                continue
            ahead[target] += 1
            if latest < pending.expires_at:
                pending.expires_at = latest
                pending.is_limited_by_stop = True
                self._queues.schedule_expiry(pending)
        return tuple(actions)

    def queue_depths(self) -> dict[ServiceClass, int]:
        """Return the number of waiting requests by class."""
        return dict(self._queues.request_counts)

    def in_flight_counts(self) -> dict[ServiceClass, int]:
        """Return the number of dispatched requests by class."""
        return {
            service_class: admitted - self._queues.request_counts[service_class]
            for service_class, admitted in self._limit_usage.class_counts.items()
        }

    def last_period_demand(self, now: float) -> tuple[Demand, ...]:
        """Return the offered load by target in the last complete period."""
        waiting = {
            target: self._queues.count_waiting(target)
            for target in self._queues.by_target
        }
        return self._demand_meter.last_period_demand(now, waiting)

    def _dispatch_or_enqueue(
        self, pending: PendingRequest, now: float
    ) -> list[DispatchAction]:
        """Send a request now, queue it, or refuse it."""
        pending.state = PendingState.waiting
        pending.queued_at = now
        if now > self._wait_estimator.send_before_stop(pending, now):
            reason = RefusalReason.draining
            return [self._remove_and_refuse(pending, reason, now)]
        if self._scheduler.must_wait(pending, now):
            actions = self._enqueue_or_refuse(pending, now)
            return [
                *actions,
                *self._scheduler.dispatch_waiting(
                    (pending.request.target,), now
                ),
            ]
        sent = self._scheduler.try_dispatch(pending, now)
        if sent is None:
            return self._enqueue_or_refuse(pending, now)
        return sent

    def _enqueue_or_refuse(
        self, pending: PendingRequest, now: float
    ) -> list[DispatchAction]:
        """Queue a request, or refuse it if it cannot be served in time.

        If the queues of its class are full, a waiting request of a caller with
        more waiting requests is evicted and refused; if there is no such
        request, the new one is refused. An urgent request that has to wait
        pauses batch requests at its target's upstreams.
        """
        if self._router.is_exhausted(
            pending.request.target, pending.excluded_upstreams
        ):
            reason = RefusalReason.upstream_failed
            return [self._remove_and_refuse(pending, reason, now)]
        pending.expires_at = self._wait_estimator.update_expiry(pending, now)
        if not pending.is_batch:
            self._attempt_controller.batch_credits.pause_target(
                pending.request.target, now
            )
        if self._is_wait_too_long(pending, now):
            reason = self._find_expiry_reason(pending, now)
            return [self._remove_and_refuse(pending, reason, now)]
        actions: list[DispatchAction] = []
        if not self._queues.has_capacity(pending):
            victim = self._queues.evict_for(pending)
            refused = victim or pending
            actions.append(
                self._remove_and_refuse(refused, RefusalReason.queue_full, now)
            )
            if victim is None:
                return actions
        self._queues.add_request(pending)
        return actions

    def _is_wait_too_long(self, pending: PendingRequest, now: float) -> bool:
        """Return whether a request is expected to expire in the queue.

        While no reachable upstream serves the target, this is True only for a
        request that has already expired, as no wait can be predicted.
        """
        if pending.expires_at <= now:
            return True
        if not self._router.has_reachable_endpoint(pending.request.target, now):
            return False
        return (
            now + self._wait_estimator.expected_wait_s(pending, now)
            > pending.expires_at
        )

    def _find_expiry_reason(
        self, pending: PendingRequest, now: float
    ) -> RefusalReason:
        """Return the refusal reason of a request that may not wait longer."""
        if now >= pending.request.deadline:
            return RefusalReason.deadline_exceeded
        if pending.is_limited_by_stop:
            return RefusalReason.draining
        if not self._router.has_reachable_endpoint(pending.request.target, now):
            return RefusalReason.no_upstream
        if pending.request.service_class is ServiceClass.interactive:
            return RefusalReason.no_capacity
        return RefusalReason.deadline_unreachable

    def _end_attempt(
        self,
        pending: PendingRequest,
        outcome: AttemptOutcome,
        now: float,
    ) -> frozenset[str]:
        """Stop counting an attempt; return the targets its upstream serves.

        For these targets, a slot may now be free. A completed attempt also
        updates the duration statistics of its target.
        """
        if pending.attempt and outcome is AttemptOutcome.completed:
            statistics = self._wait_estimator.statistics_for(
                pending.request.target
            )
            statistics.record_attempt_duration(
                now - pending.attempt.started_at, now
            )
        upstream = self._attempt_controller.end_attempt(pending, outcome, now)
        return self._router.endpoint_index.targets_by_upstream.get(
            upstream, frozenset()
        )

    def _remove_request(self, pending: PendingRequest, now: float) -> None:
        pending.state = PendingState.ended
        self._pending_by_id.pop(pending.request.request_id)
        self._limit_usage.remove_request(
            pending.request, now - pending.arrived_at
        )

    def _authorize_retry(
        self,
        pending: PendingRequest,
        now: float,
    ) -> RefusalReason | None:
        """Spend one retry of the budget if the request may be retried.

        Returns None if it may, otherwise the reason to refuse the request.
        """
        if pending.ran is Ran.unknown and not pending.request.is_idempotent:
            return RefusalReason.outcome_unknown
        if now >= pending.request.deadline:
            return RefusalReason.deadline_exceeded
        if not self._retry_budget.try_spend():
            return RefusalReason.retry_budget_spent
        return None

    def _remove_and_refuse(
        self,
        pending: PendingRequest,
        reason: RefusalReason,
        now: float,
    ) -> Refuse:
        """Remove an admitted request and return its refusal.

        The request must not be in a queue. A refusal for lack of capacity
        counts as demand of its target.
        """
        if reason in _CAPACITY_REASONS:
            self._demand_meter.record_refusal(pending.request.target, now)
        statistics = self._wait_estimator.statistics_for(pending.request.target)
        wait_s = self._wait_estimator.min_retry_after_s(pending, now)
        limit_s = self._settings.retry_after_max_s
        retry_after_s = statistics.assign_retry_after_s(now, wait_s, limit_s)
        self._remove_request(pending, now)
        return self._build_refusal(pending, reason, retry_after_s)

    def _build_refusal(
        self,
        pending: PendingRequest,
        reason: RefusalReason,
        retry_after_s: float,
    ) -> Refuse:
        jitter = 1 + _RETRY_AFTER_JITTER * self._rng.random()
        refusal = Refusal(
            reason=reason,
            ran=pending.ran,
            detail=REFUSAL_DETAILS[reason],
            retry_after_s=None
            if reason in _FINAL_REASONS
            else retry_after_s * jitter,
        )
        return Refuse(pending.request.request_id, refusal)


def _dispatch_order(pending: PendingRequest) -> tuple[int, float, int]:
    request = pending.request
    return request.service_class.rank, request.deadline, pending.sequence


def _unknown_target_reason(pending: PendingRequest) -> RefusalReason:
    if pending.request.is_service:
        return RefusalReason.unknown_service
    return RefusalReason.unknown_model


def _find_running(
    pending_by_id: Mapping[str, PendingRequest], request_id: str
) -> PendingRequest | None:
    """Return an admitted request that has an attempt, or None."""
    pending = pending_by_id.get(request_id)
    if pending is None or pending.state is PendingState.waiting:
        return None
    return pending
