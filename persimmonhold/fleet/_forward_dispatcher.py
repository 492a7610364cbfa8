"""Dispatches the requests of one entry to upstreams, or refuses them.

Bursts beyond the capacity of a model's copies are queued at the entry rather
than at an upstream: here the most urgent request goes first, and any upstream
can still be chosen. A request that cannot be served before its caller is
expected to give up is refused at once, with a time to retry after. No request
is refused while an upstream can accept it.

Invariants: each request ends by `finish_request` or a `RefuseRequest`; a request
is never sent to an upstream that wants no new requests, nor so late in a
planned stop that its response is expected to be cut.
"""

import random
from collections.abc import Iterable
from types import MappingProxyType
from typing import Final, TypeAlias, final

from persimmonhold.fleet._attempt_end import AttemptEnd
from persimmonhold.fleet._brittleness import find_slot_opening
from persimmonhold.fleet._dispatch_request import DispatchRequest
from persimmonhold.fleet._fleet_messages import FleetUpdate, StatedLimit
from persimmonhold.fleet._forward_action import (
    ForwardAction,
    RefuseRequest,
    SendRequest,
)
from persimmonhold.fleet._listed_upstream import ListedUpstream
from persimmonhold.fleet._request_queue import PendingRequest, RequestQueue
from persimmonhold.fleet._retry_budget import RetryBounds, RetryBudget
from persimmonhold.fleet._send_deadline import SendDeadline
from persimmonhold.fleet._service_orders import ServiceOrders
from persimmonhold.fleet._slot_dispatch import SlotDispatch
from persimmonhold.fleet._upstream_chooser import (
    TURNED_AWAY_REASON,
    UpstreamChooser,
)
from persimmonhold.fleet._upstream_option import UpstreamOption

_QueueKey: TypeAlias = tuple[str, str]
BUDGET_SPENT: Final = 'retry_budget_spent'  # reason of refusals
_STOPPING: Final = 'stopping'  # reason of refusals in a planned stop
_DISPATCH_INTERVAL_S: Final = 0.02  # shorter than a few batch steps
_MAX_QUEUE_LENGTH: Final = 400  # requests for one model at this entry
MAX_SENDS: Final = 4  # of one request, including those that were refused
_DEFAULT_EXCLUSION_S: Final = 60.0  # longer than any request lasts
# How long a request avoids an upstream after a failed attempt there.
_EXCLUSION_S: Final = MappingProxyType({
    AttemptEnd.absent: 0.0,  # the tracker marks the model as absent instead
    AttemptEnd.full: 0.15,  # gives other upstreams precedence
    AttemptEnd.limited: 0.0,  # the tracker keeps the time of the next permit
    AttemptEnd.spared: 0.0,  # the chooser leaves it out for as long as needed
    AttemptEnd.unsent: 0.1,
    AttemptEnd.withheld: 0.0,  # the upstream was not involved
    AttemptEnd.unreachable: 0.3,  # a crashed upstream restarts in seconds
})
# The upstream did not receive the request, so a retry is not charged to the
# budget.
NOT_RECEIVED: Final = frozenset((
    AttemptEnd.limited,
    AttemptEnd.spared,
    AttemptEnd.unreachable,
    AttemptEnd.unsent,
    AttemptEnd.withheld,
))
# The upstream has answered that it did not run the request.
_REFUSED_BY_PROCESS: Final = frozenset((
    AttemptEnd.absent,
    AttemptEnd.full,
    AttemptEnd.replaced,
))
_MIN_RETRY_AFTER_S: Final = 0.1
# A new fleet controller issues its first order after about 3.4 s.
_MAX_RETRY_AFTER_S: Final = 4.0
# Time to load a model from memory; from disk it is 0.6 to 0.8 s.
_MIN_LOAD_S: Final = 0.6
_PERMIT_JITTER: Final = 0.5  # spreads the permit requests of all entries
# Spreads the retries of callers that were refused together.
_RETRY_AFTER_JITTER: Final = 0.4


@final
class ForwardDispatcher:
    """Queues the requests of all services and assigns them to upstreams.

    `pending` has all unanswered requests by number, queued or sent. `term`,
    `sequence` and `applied_change_number` are taken from the last update that
    was applied. `ready_at` is when the models that nobody serves yet will be
    loaded, as far as they are being loaded. The newest list was requested at
    `listed_at`.
    """

    __slots__ = (
        'retry_bounds',
        'chooser',
        'entry_count',
        'applied_change_number',
        'last_dispatch_at',
        'listed_at',
        'orders',
        'pending',
        'queues',
        'ready_at',
        'retry_budgets',
        'rng',
        'send_deadline',
        'sequence',
        'slots',
        'term',
    )

    def __init__(
        self,
        failure_domain: str,
        retry_bounds: RetryBounds,
        rng: random.Random,
        *,
        is_learning: bool = True,
    ) -> None:
        """Create the dispatcher of an entry in a failure domain.

        `is_learning` enables prompt caches and learned speeds in the choice of
        upstreams.
        """
        self.chooser = UpstreamChooser(
            failure_domain, rng, is_learning=is_learning
        )
        self.retry_bounds = retry_bounds
        self.rng = rng
        self.entry_count = 1
        self.term = 0
        self.applied_change_number = 0
        self.sequence = 0
        self.send_deadline = SendDeadline()
        self.listed_at = float('-inf')
        self.last_dispatch_at = 0.0
        self.ready_at: dict[str, float] = {}
        self.orders = ServiceOrders()
        self.queues: dict[_QueueKey, RequestQueue] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.slots = SlotDispatch(self.chooser, self.pending, rng)

    def apply_update(
        self,
        update: FleetUpdate,
        now: float,
    ) -> tuple[ForwardAction, ...]:
        """Apply an update by the fleet controller, and dispatch requests.

        An update is ignored if it is not newer than the last one, or if it
        omits changes that were not applied here. The first update of a new
        term must be complete.
        """
        if update.term < self.term:
            return ()
        if update.term == self.term and update.sequence <= self.sequence:
            return ()
        is_complete = update.base == 0
        if not is_complete and (
            update.term > self.term or update.base > self.applied_change_number
        ):
            return ()
        self.chooser.confirm_limits(
            now, is_new_controller=update.term > self.term
        )
        self.term = update.term
        self.sequence = update.sequence
        self.applied_change_number = update.number
        self.listed_at = max(self.listed_at, now - update.list_age_s)
        self.chooser.updated_to = now - update.list_age_s
        self.chooser.apply_facts(
            update.facts,
            update.gone,
            now,
            self.listed_at,
            is_complete=is_complete,
        )
        self.chooser.apply_other_loads(update.others, update.waiting, now)
        self.chooser.preference.apply_speeds(
            update.speeds, self.chooser.trackers, now
        )
        self.chooser.orders_start_at = now + update.orders_in_s
        self.ready_at = {
            one.model: now + one.ready_in_s for one in update.loading
        }
        return self.dispatch_waiting(now)

    def apply_list(
        self,
        listed: Iterable[ListedUpstream],
        now: float,
        asked_at: float | None = None,
    ) -> None:
        """Apply a list of upstreams that the entry itself has read.

        It was requested at `asked_at`, by default now. The entry does so when
        the fleet controller's updates have not kept its list recent enough.
        """
        asked_at = now if asked_at is None else asked_at
        self.listed_at = max(self.listed_at, asked_at)
        self.chooser.apply_list(listed, asked_at, now)

    def plan_stop(
        self, stops_at: float, now: float
    ) -> tuple[ForwardAction, ...]:
        """Have all responses end by `stops_at`.

        Waiting requests that cannot be served by then are refused now.
        """
        self.send_deadline.plan_stop(stops_at, now)
        refused = [
            self.refuse(pending, _STOPPING, now)
            for pending in self.orders.list_waiting(self.queues, now)
            if self.send_deadline.is_stop_before(
                self._expected_service_at(pending, now), pending
            )
        ]
        return (*refused, *self.dispatch_waiting(now))

    def submit_request(
        self,
        request: DispatchRequest,
        now: float,
    ) -> tuple[ForwardAction, ...]:
        """Dispatch, enqueue or refuse a new request.

        The returned actions may concern other waiting requests as well.
        """
        self.retry_budget(request.service).record_request(now)
        pending = PendingRequest(request)
        self.pending[request.number] = pending
        return self.dispatch_or_enqueue(pending, now)

    def retry_request(
        self,
        request_number: int,
        outcome: AttemptEnd,
        now: float,
    ) -> tuple[ForwardAction, ...]:
        """Dispatch or enqueue a request after a failed attempt, or refuse it.

        The caller must have checked that the request may be executed again.
        The failed upstream is avoided for a while.
        """
        pending = self.pending.get(request_number)
        if pending is None:
            return ()
        self._end_attempt(pending, outcome, now)
        pending.extend_wait(now)
        if (
            outcome in _REFUSED_BY_PROCESS
            and not pending.request.route.is_repeatable
        ):
            pending.refused_by.add(pending.upstream)
        exclude_upstream(self.chooser, pending, outcome, now)
        if outcome not in NOT_RECEIVED and not self.try_spend_retry(
            pending, now
        ):
            return (self.refuse(pending, BUDGET_SPENT, now),)
        return self.dispatch_or_enqueue(pending, now)

    def record_first_byte(self, request_number: int, now: float) -> None:
        """Record the first byte of the response to a request."""
        pending = self.pending.get(request_number)
        if pending is None:
            return
        pending.has_response_begun = True
        tracker = self.chooser.trackers.get(pending.upstream)
        if tracker is not None:
            tracker.record_first_byte(request_number, now)
            if pending.request.is_engine:
                self.chooser.preference.record_read(
                    pending.prompt_keys, pending.upstream, now
                )

    def record_adapter_loaded(self, request_number: int, now: float) -> None:
        """Record that the adapter of a request was loaded at its upstream."""
        pending = self.pending.get(request_number)
        if pending is not None and pending.upstream in self.chooser.trackers:
            profile = pending.request.profile
            self.chooser.trackers[pending.upstream].record_adapter_loaded(
                profile.model,
                profile.adapter,
                now,
            )

    def find_stated_limit(
        self, request_number: int, now: float
    ) -> StatedLimit | None:
        """Return the limit for which a request needs a permit, or None."""
        pending = self.pending.get(request_number)
        tracker = pending and self.chooser.trackers.get(pending.upstream)
        if not tracker:
            return None
        if tracker.limit.per_s is None:
            tracker.limit.cancel_request(request_number)
            return None
        return StatedLimit.from_observation(
            tracker.facts.process_key, tracker.limit.current, now
        )

    def record_permit(
        self, request_number: int, wait_s: float, now: float
    ) -> None:
        """Record a permit for a request, or the seconds until there is one.

        The next permit is requested later by chance, as other entries wait for
        it as well.
        """
        pending = self.pending.get(request_number)
        tracker = pending and self.chooser.trackers.get(pending.upstream)
        if tracker:
            spread = 1 + _PERMIT_JITTER * self.rng.random()
            tracker.limit.record_permit(request_number, now + wait_s * spread)

    def finish_request(
        self,
        request_number: int,
        outcome: AttemptEnd,
        now: float,
    ) -> tuple[ForwardAction, ...]:
        """Remove a request that was answered or whose caller disconnected.

        If it was sent to an upstream, waiting requests are dispatched.
        """
        pending = self.pending.pop(request_number, None)
        if pending is None:
            return ()
        if pending.upstream:
            self._end_attempt(pending, outcome, now)
            return self.dispatch_waiting(now)
        self.queue_of(pending).remove_request(pending)
        return ()

    def dispatch_waiting(self, now: float) -> tuple[ForwardAction, ...]:
        """Send waiting requests in order, and refuse those that expired.

        Also refuses those that cannot be served in time any more, if upstreams
        have turned requests away or their model is still being loaded.

        Once a request cannot be sent to any upstream, later ones of the same
        model and adapter are not tried, except requests that avoid some
        upstream after a failed attempt.
        """
        self.last_dispatch_at = now
        must_recheck = self.chooser.spared.pop_recheck()
        actions: list[ForwardAction] = []
        blocked: set[tuple[_QueueKey, str]] = set()
        for pending in self.orders.list_waiting(self.queues, now):
            key = (_queue_key(pending.request), pending.request.profile.adapter)
            if key not in blocked or pending.is_selective:
                action = self._try_send(pending, now)
                if action is not None:
                    actions.append(action)
                    continue
                if not pending.is_selective:
                    blocked.add(key)
            must_check = _must_recheck(
                self, pending, now, after_turning_away=must_recheck
            )
            if self._is_hopeless(pending, now, must_check=must_check):
                reason = self._refusal_reason(pending, now)
                actions.append(self.refuse(pending, reason, now))
        return tuple(actions)

    def next_dispatch_at(self) -> float | None:
        """Return when `dispatch_waiting` is due; None if no request waits."""
        if any(queue.pending for queue in self.queues.values()):
            return self.last_dispatch_at + _DISPATCH_INTERVAL_S
        return None

    def dispatch_or_enqueue(
        self,
        pending: PendingRequest,
        now: float,
    ) -> tuple[ForwardAction, ...]:
        """Send or enqueue a request, or refuse it if it cannot be served."""
        pending.upstream = ''
        pending.queued_at = now
        queue = self.queue_of(pending)
        if not queue.pending:
            sent = self._try_send(pending, now)
            if sent is not None:
                return (sent,)
        queue.add_request(pending)
        actions = self.dispatch_waiting(now)
        if pending.upstream or pending.request.number not in self.pending:
            return actions
        if self._is_unservable(pending, now):
            reason = self._refusal_reason(pending, now)
            return (*actions, self.refuse(pending, reason, now))
        return actions

    def refuse(
        self,
        pending: PendingRequest,
        reason: str,
        now: float,
    ) -> RefuseRequest:
        """Remove a request; return its refusal with a time to retry after."""
        queue = self.queue_of(pending)
        wait_s = 0.0  # other entries can accept the request at once
        if reason != _STOPPING:
            wait_s = self._expected_service_at(pending, now) - now
        ahead = queue.count_ahead(pending)
        self.queue_of(pending).remove_request(pending)
        self.pending.pop(pending.request.number, None)
        if reason != TURNED_AWAY_REASON:
            wait_s = min(_MAX_RETRY_AFTER_S, wait_s)
        after_s = max(_MIN_RETRY_AFTER_S, wait_s)
        spread = 1 + _RETRY_AFTER_JITTER * self.rng.random()
        return RefuseRequest(
            number=pending.request.number,
            reason=reason,
            retry_after_s=after_s * spread,
            waited_s=now - pending.queued_at,
            queue_length=len(queue),
            ahead=ahead,
            is_late=pending.is_late,
            holder_count=self.chooser.count_holders(pending, now),
            list_age_s=now - self.listed_at,
        )

    def try_spend_retry(self, pending: PendingRequest, now: float) -> bool:
        """Spend a retry of the service's budget; return whether one was left.

        Returns False without spending a retry if the request was sent as often
        as allowed. A stream that has begun is sent for as long as its caller
        waits.
        """
        if pending.send_count >= MAX_SENDS and not pending.has_response_begun:
            return False
        budget = self.retry_budget(pending.request.service)
        return budget.try_spend_retry(self.entry_count, now)

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, created on first use."""
        found = self.retry_budgets.get(service)
        if found is None:
            found = RetryBudget(self.retry_bounds)
            self.retry_budgets[service] = found
        return found

    def queue_of(self, pending: PendingRequest) -> RequestQueue:
        """Return the queue of a request's model, created on first use."""
        return self.queues.setdefault(
            _queue_key(pending.request), RequestQueue()
        )

    def _try_send(
        self, pending: PendingRequest, now: float
    ) -> SendRequest | None:
        """Assign a request to an upstream; None if none can accept it now."""
        if now > self.send_deadline.find_before_stop(pending):
            return None
        budget = self.retry_budget(pending.request.service)
        is_hedge = pending.hedged is not None
        if is_hedge and not budget.has_retry(self.entry_count, now):
            return None
        queue = self.queue_of(pending)
        choice = self.chooser.choose_upstream(
            pending, queue.describe_waiting(), now
        )
        if choice is None:
            return None
        if is_hedge:
            budget.try_spend_retry(self.entry_count, now)
        tracker = choice.tracker
        queue.remove_request(pending)
        self.orders.find(pending.request.service).record_dispatch(pending)
        queue.record_dispatch(now, others_wait=bool(queue.pending))
        running = tracker.total_running(now)
        pending.upstream = tracker.facts.name
        pending.send_count += 1
        self.chooser.spared.record_sent(pending.request.service)
        _record_attempt_start(self.chooser, pending, choice, now)
        return SendRequest(
            number=pending.request.number,
            upstream=tracker.facts,
            needs_adapter=choice.needs_adapter,
            expected_s=choice.forecast.expected_s,
            waited_s=now - pending.queued_at,
            running=running,
            cached_tokens=round(choice.forecast.cached_tokens),
            tokens_per_s=round(choice.forecast.tokens_per_s),
            is_late=pending.is_late,
        )

    def _is_hopeless(
        self, pending: PendingRequest, now: float, *, must_check: bool
    ) -> bool:
        """Tell whether a waiting request is refused now."""
        if now >= self.send_deadline.find(pending):
            return True
        return must_check and self._is_unservable(pending, now)

    def _is_unservable(self, pending: PendingRequest, now: float) -> bool:
        """Tell whether the queue is too long, or the time left too short."""
        queue = self.queue_of(pending)
        if len(queue) > _MAX_QUEUE_LENGTH:
            return True
        if _is_refused_by_all(self.chooser, pending, now):
            return True
        if not _has_build(self.chooser, pending, now):
            return True
        expires_at = self.send_deadline.find(pending)
        if now >= expires_at:
            return True
        return self._expected_service_at(pending, now) > expires_at

    def _expected_service_at(
        self, pending: PendingRequest, now: float
    ) -> float:
        """Return when an upstream is expected to accept a request."""
        load_at = max(now, self.chooser.orders_start_at) + _MIN_LOAD_S
        if _is_refused_by_all(self.chooser, pending, now):
            # The caller's next attempt may go to all of them again.
            queue = self.queue_of(pending)
            return max(
                now + queue.expected_wait_s(pending, now),
                find_slot_opening(self.chooser.holders(pending, now), now),
            )
        if not self.chooser.has_holder(pending, now):
            # A model that is not being loaded may be, as requests wait for it.
            model = pending.request.profile.model
            load_at = max(load_at, self.ready_at.get(model, load_at))
            opening_at = self.chooser.find_opening(pending, now)
            if opening_at is None:
                return load_at
            return self.chooser.find_earliest_service(
                pending.request, opening_at, load_at, now
            )
        queue = self.queue_of(pending)
        ahead = queue.count_ahead(pending)
        permit_at = self.chooser.next_permit_at(pending, ahead, now)
        if permit_at is not None:
            return self.chooser.find_earliest_service(
                pending.request, permit_at, load_at, now
            )
        waited = max(
            now + queue.expected_wait_s(pending, now),
            find_slot_opening(self.chooser.holders(pending, now), now),
        )
        if self.chooser.has_adapter(pending, now):
            return waited
        return max(waited, self.chooser.orders_start_at)

    def _refusal_reason(self, pending: PendingRequest, now: float) -> str:
        """Return `no_upstream` if no available upstream holds the model.

        It is `refused_by_all` if each that does has refused it for good, and
        `no_upstream_of_version` if a stream began at a version that is gone.
        It is `upstreams_turned_away` or `upstreams_leaving` if those that hold
        it stated so to this entry. Otherwise an upstream holds it but cannot
        serve the request in time: `request_limit` if all that hold it have a
        request limit, or `no_capacity`. It is `stopping` if only the planned
        stop prevents it.
        """
        service_at = self._expected_service_at(pending, now)
        if self.send_deadline.is_stop_before(service_at, pending):
            return _STOPPING
        if _is_refused_by_all(self.chooser, pending, now):
            return 'refused_by_all'
        if not _has_build(self.chooser, pending, now):
            return 'no_upstream_of_version'
        if not self.chooser.has_holder(pending, now):
            return self.chooser.find_absence_reason(pending, now)
        if self.chooser.next_permit_at(pending, 0, now) is not None:
            return 'request_limit'
        return 'no_capacity'

    def _end_attempt(
        self,
        pending: PendingRequest,
        outcome: AttemptEnd,
        now: float,
    ) -> None:
        """Record the end of a request's attempt at its upstream."""
        tracker = self.chooser.trackers.get(pending.upstream)
        if tracker is not None:
            tracker.record_attempt_end(pending.request, outcome, now)


def refuse_if_stopping(
    dispatcher: ForwardDispatcher, request: DispatchRequest, now: float
) -> RefuseRequest | None:
    """Return the refusal of a new request that the stop lets nobody run."""
    pending = PendingRequest(request)
    if now > dispatcher.send_deadline.find_before_stop(pending):
        return dispatcher.refuse(pending, _STOPPING, now)
    return None


def exclude_upstream(
    chooser: UpstreamChooser,
    pending: PendingRequest,
    outcome: AttemptEnd,
    now: float,
) -> None:
    """Have a request avoid its upstream after an attempt there."""
    tracker = chooser.trackers.get(pending.upstream)
    if tracker is not None:
        pause_s = _EXCLUSION_S.get(outcome, _DEFAULT_EXCLUSION_S)
        pending.excluded_until[tracker.facts.process_key] = now + pause_s


def _record_attempt_start(
    chooser: UpstreamChooser,
    pending: PendingRequest,
    choice: UpstreamOption,
    now: float,
) -> None:
    """Record the start of an attempt, and what it may show.

    The time to the first event shows no speed where it includes an adapter load
    or a wait for a permit.
    """
    tracker = choice.tracker
    forecast = choice.forecast
    is_measured = not choice.needs_adapter and tracker.limit.per_s is None
    tracker.record_attempt_start(
        pending.request,
        forecast.expected_s,
        now,
        forecast if is_measured and forecast.tokens_per_s else None,
    )
    if pending.send_count == 1:
        chooser.preference.record_sent(
            pending.request, pending.prompt_keys, now
        )


def _must_recheck(
    dispatcher: ForwardDispatcher,
    pending: PendingRequest,
    now: float,
    *,
    after_turning_away: bool,
) -> bool:
    """Tell whether a waiting request may have become unservable."""
    if pending.request.profile.model in dispatcher.ready_at:
        return True
    return after_turning_away and dispatcher.chooser.is_turned_away(
        pending, now
    )


def _is_refused_by_all(
    chooser: UpstreamChooser, pending: PendingRequest, now: float
) -> bool:
    """Tell whether all available holders have refused a request for good.

    False for a request that none has refused.
    """
    return bool(pending.refused_by) and all(
        tracker.facts.name in pending.refused_by
        for tracker in chooser.holders(pending, now)
        if tracker.is_available(now)
    )


def _has_build(
    chooser: UpstreamChooser, pending: PendingRequest, now: float
) -> bool:
    """Tell whether an upstream of the build that a request needs serves."""
    return chooser.groups.has_build(pending.request.service, pending.build, now)


def _queue_key(request: DispatchRequest) -> _QueueKey:
    return request.service, request.profile.model
