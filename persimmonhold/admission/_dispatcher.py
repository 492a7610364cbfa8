"""Decides when each request is sent, and where, or refuses it.

The dispatcher composes the router with queues by target and class. Urgent
work goes first, callers share by tokens, and among the requests of a caller
the earliest deadline goes first. Batch requests fill free places, are
stopped for urgent work, and have a reserved share of turns once they have
waited for long.

Invariants: each request ends in exactly one of `end`, `abandon` or a refusal.
A request that is given up is refused in the same call. Whatever is kept is
bounded by the admitted requests, the catalogue and the settings. A
non-idempotent request that may have run is never sent again.
"""

import random
from typing import Final, final

from persimmonhold.admission._admission_request import AdmissionRequest
from persimmonhold.admission._demand_meter import DemandMeter
from persimmonhold.admission._dispatch_action import DispatchAction
from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._forecast import Forecast
from persimmonhold.admission._launcher import Launcher
from persimmonhold.admission._pending import Pending
from persimmonhold.admission._pending_state import PendingState
from persimmonhold.admission._refusal_text import REFUSAL_DETAILS
from persimmonhold.admission._refuse import Refuse
from persimmonhold.admission._retry_budget import RetryBudget
from persimmonhold.admission._retry_reason import RetryReason
from persimmonhold.admission._scheduler import Scheduler
from persimmonhold.admission._usage import Usage
from persimmonhold.admission._waiting_room import WaitingRoom
from persimmonhold.catalogue import ServiceClass
from persimmonhold.failures import Ran, Refusal, RefusalReason
from persimmonhold.messages import Demand
from persimmonhold.routing import AttemptOutcome, Router

_RETURN_JITTER: Final = 0.1
_CAPACITY_REASONS: Final = frozenset((
    RefusalReason.no_capacity,
    RefusalReason.no_upstream,
    RefusalReason.queue_full,
    RefusalReason.deadline_unreachable,
    RefusalReason.deadline_exceeded,
))
_FINAL_REASONS: Final = frozenset((
    RefusalReason.outcome_unknown,
    RefusalReason.unknown_model,
    RefusalReason.unknown_service,
))


@final
class Dispatcher:
    """The admission state of one entry."""

    __slots__ = (
        '_budget',
        '_forecast',
        '_launcher',
        '_meter',
        '_pending',
        '_random',
        '_room',
        '_router',
        '_scheduler',
        '_sequence',
        '_settings',
        '_usage',
    )

    def __init__(
        self,
        router: Router,
        settings: DispatcherSettings,
        rng: random.Random,
    ) -> None:
        """Create an idle dispatcher."""
        self._router = router
        self._settings = settings
        self._random = rng
        self._budget = RetryBudget(settings.retry_ratio, settings.retry_burst)
        self._meter = DemandMeter(settings.demand_period_s)
        self._room = WaitingRoom(settings)
        self._usage = Usage(settings)
        self._launcher = Launcher(router, settings, rng)
        self._forecast = Forecast(router, self._room, settings)
        self._pending: dict[str, Pending] = {}
        self._sequence = 0
        self._scheduler = Scheduler(
            self._room,
            self._launcher,
            self._forecast,
            settings,
        )

    def submit(
        self, request: AdmissionRequest, now: float
    ) -> tuple[DispatchAction, ...]:
        """Take a new request; its id must not be in use."""
        self._meter.offer(request, now)
        self._sequence += 1
        pending = Pending(request, self._sequence, now)
        reason = self._usage.exceeded(request, now)
        if reason is not None:
            wait_s = self._usage.retry_after_s(request, now)
            return (self._refusal(pending, reason, wait_s),)
        self._usage.add(request)
        self._pending[request.request_id] = pending
        return tuple(self._place(pending, now))

    def retry(
        self,
        request_id: str,
        failed_upstream: str,
        reason: RetryReason,
        now: float,
    ) -> tuple[DispatchAction, ...]:
        """Send a request again elsewhere after a failed attempt, or refuse."""
        pending = self._running(request_id)
        if pending is None:
            return ()
        freed = self._release(pending, reason.outcome, now)
        pending.excluded |= {failed_upstream}
        if not reason.is_certainly_not_run:
            pending.ran = Ran.unknown
        refused = self._reason_against_retry(pending, now)
        if refused is None:
            actions = self._place(pending, now)
        else:
            actions = [self._give_up(pending, refused, now)]
        return (*actions, *self._scheduler.dispatch_waiting(freed, now))

    def requeue_preempted(
        self,
        request_id: str,
        delivered_tokens: int,
        now: float,
    ) -> tuple[DispatchAction, ...]:
        """Take back a batch request whose attempt was stopped on request."""
        pending = self._running(request_id)
        if pending is None:
            return ()
        freed = self._release(pending, AttemptOutcome.cancelled, now)
        pending.delivered_tokens = delivered_tokens
        pending.preemptions += 1
        if pending.preemptions >= self._settings.max_preemptions:
            pending.is_protected = True
        return (
            *self._scheduler.dispatch_waiting(freed, now),
            *self._place(pending, now),
        )

    def record_first_token(self, request_id: str, now: float) -> None:
        """Learn from the first token of a running request."""
        pending = self._running(request_id)
        if pending:
            self._launcher.first_token(pending, now)

    def end(
        self,
        request_id: str,
        outcome: AttemptOutcome,
        now: float,
    ) -> tuple[DispatchAction, ...]:
        """Take the end of a request whose answer the caller has."""
        pending = self._running(request_id)
        if pending is None:
            return ()
        freed = self._release(pending, outcome, now)
        self._forget(pending, now)
        if outcome is AttemptOutcome.completed:
            self._budget.succeed()
        return tuple(self._scheduler.dispatch_waiting(freed, now))

    def abandon(
        self,
        request_id: str,
        now: float,
    ) -> tuple[DispatchAction, ...]:
        """Forget a request whose caller is gone."""
        pending = self._pending.get(request_id)
        if pending is None:
            return ()
        if pending.state is PendingState.waiting:
            self._room.remove(pending)
            self._forget(pending, now)
            return ()
        return self.end(request_id, AttemptOutcome.cancelled, now)

    def handle_view_change(self, now: float) -> tuple[DispatchAction, ...]:
        """Look at all queues again after the router adopted a view."""
        view = self._router.view
        entries = sum(bool(vm.callers) and not vm.draining for vm in view.vms)
        self._usage.entries = max(1, entries)
        self._launcher.uses.entries = max(1, entries)
        self._launcher.uses.keep(frozenset(self._router.upstream_states))
        names = frozenset(view.catalogue.entries)
        self._usage.keep_targets(names)
        self._forecast.keep(names)
        actions: list[DispatchAction] = []
        for pending in self._room.waiting():
            if pending.request.target not in names:
                self._room.remove(pending)
                actions.append(self._give_up(pending, _unknown(pending), now))
            elif self._is_held_otherwise(pending, now):
                pending.expires_at = self._forecast.expires_at(pending, now)
                self._room.watch(pending)
        return (*actions, *self._scheduler.dispatch_waiting(None, now))

    def tick(self, now: float) -> tuple[DispatchAction, ...]:
        """Refuse what has expired, and dispatch what fits by now."""
        actions: list[DispatchAction] = []
        for pending in self._room.expired(now):
            if self._is_held_otherwise(pending, now):
                actions.extend(self._enqueue(pending, now))
            else:
                reason = self._expiry_reason(pending, now)
                actions.append(self._give_up(pending, reason, now))
        actions.extend(self._launcher.yield_places())
        actions.extend(self._scheduler.dispatch_waiting(None, now))
        return tuple(actions)

    def next_wakeup(self) -> float | None:
        """Return when `tick` has to be called, in seconds."""
        if not self._room and not self._usage.classes[ServiceClass.batch]:
            return None
        pump_at = self._scheduler.looked_at + self._settings.pump_interval_s
        expiry = self._room.next_expiry()
        return pump_at if expiry is None else min(expiry, pump_at)

    def queue_depths(self) -> dict[ServiceClass, int]:
        """Return the number of waiting requests by class."""
        return dict(self._room.requests)

    def in_flight(self) -> dict[ServiceClass, int]:
        """Return the number of requests at upstreams by class."""
        return {
            service_class: admitted - self._room.requests[service_class]
            for service_class, admitted in self._usage.classes.items()
        }

    def demand(self, now: float) -> tuple[Demand, ...]:
        """Return the offered load by target over the last period."""
        waiting = {
            target: self._room.waiting_for(target)
            for target in self._room.queues
        }
        return self._meter.demand(now, waiting)

    def _running(self, request_id: str) -> Pending | None:
        pending = self._pending.get(request_id)
        if pending is None or pending.state is PendingState.waiting:
            return None
        return pending

    def _place(self, pending: Pending, now: float) -> list[DispatchAction]:
        """Send a request, let it wait, or refuse it."""
        pending.state = PendingState.waiting
        pending.queued_at = now
        if self._scheduler.must_wait(pending, now):
            actions = self._enqueue(pending, now)
            return [
                *actions,
                *self._scheduler.dispatch_waiting(
                    (pending.request.target,), now
                ),
            ]
        sent = self._scheduler.send(pending, now)
        if sent is None:
            return self._enqueue(pending, now)
        return sent

    def _enqueue(self, pending: Pending, now: float) -> list[DispatchAction]:
        """Let a request wait, or refuse it at once where that is in vain."""
        if self._router.is_exhausted(pending.request.target, pending.excluded):
            reason = RefusalReason.upstream_failed
            return [self._give_up(pending, reason, now)]
        pending.expires_at = self._forecast.expires_at(pending, now)
        if not pending.is_batch:
            self._launcher.gaps.pause(pending.request.target, now)
        if self._is_hopeless(pending, now):
            reason = self._expiry_reason(pending, now)
            return [self._give_up(pending, reason, now)]
        actions: list[DispatchAction] = []
        if not self._room.has_room(pending):
            victim = self._room.evict_for(pending)
            refused = victim or pending
            actions.append(
                self._give_up(refused, RefusalReason.queue_full, now)
            )
            if victim is None:
                return actions
        self._room.add(pending)
        return actions

    def _is_held_otherwise(self, pending: Pending, now: float) -> bool:
        """Tell whether the target lost or got its upstreams meanwhile."""
        has_site = self._router.has_reachable_endpoint(
            pending.request.target, now
        )
        return has_site != (pending.held_at is None)

    def _is_hopeless(self, pending: Pending, now: float) -> bool:
        if pending.expires_at <= now:
            return True
        if not self._router.has_reachable_endpoint(pending.request.target, now):
            return False
        return now + self._forecast.wait_s(pending, now) > pending.expires_at

    def _expiry_reason(self, pending: Pending, now: float) -> RefusalReason:
        """Return why a request that may wait no longer is refused."""
        if now >= pending.request.deadline:
            return RefusalReason.deadline_exceeded
        if not self._router.has_reachable_endpoint(pending.request.target, now):
            return RefusalReason.no_upstream
        if pending.request.service_class is ServiceClass.interactive:
            return RefusalReason.no_capacity
        return RefusalReason.deadline_unreachable

    def _release(
        self,
        pending: Pending,
        outcome: AttemptOutcome,
        now: float,
    ) -> frozenset[str]:
        """Stop counting an attempt; return the targets of its upstream."""
        if pending.attempt and outcome is AttemptOutcome.completed:
            record = self._forecast.record(pending.request.target)
            record.ended(now - pending.attempt.started_at, now)
        upstream = self._launcher.release(pending, outcome, now)
        return self._router.endpoint_index.targets_by_upstream.get(
            upstream, frozenset()
        )

    def _forget(self, pending: Pending, now: float) -> None:
        pending.state = PendingState.ended
        self._pending.pop(pending.request.request_id)
        self._usage.remove(pending.request, now - pending.arrived_at)

    def _reason_against_retry(
        self,
        pending: Pending,
        now: float,
    ) -> RefusalReason | None:
        if pending.ran is Ran.unknown and not pending.request.is_idempotent:
            return RefusalReason.outcome_unknown
        if now >= pending.request.deadline:
            return RefusalReason.deadline_exceeded
        if not self._budget.take():
            return RefusalReason.retry_budget_spent
        return None

    def _give_up(
        self,
        pending: Pending,
        reason: RefusalReason,
        now: float,
    ) -> Refuse:
        """Forget a request and refuse it."""
        if reason in _CAPACITY_REASONS:
            self._meter.refuse(pending.request.target, now)
        record = self._forecast.record(pending.request.target)
        wait_s = self._forecast.return_wait_s(pending, now)
        limit_s = self._settings.retry_after_max_s
        after_s = record.offer_return(now, wait_s, limit_s)
        self._forget(pending, now)
        return self._refusal(pending, reason, after_s)

    def _refusal(
        self,
        pending: Pending,
        reason: RefusalReason,
        after_s: float,
    ) -> Refuse:
        jitter = 1 + _RETURN_JITTER * self._random.random()
        refusal = Refusal(
            reason=reason,
            ran=pending.ran,
            detail=REFUSAL_DETAILS[reason],
            retry_after_s=None
            if reason in _FINAL_REASONS
            else after_s * jitter,
        )
        return Refuse(pending.request.request_id, refusal)


def _unknown(pending: Pending) -> RefusalReason:
    if pending.request.is_service:
        return RefusalReason.unknown_service
    return RefusalReason.unknown_model
