"""Hedges: second attempts at requests whose first attempt pauses.

An upstream that pauses may go on, and another one may be full. So the first
attempt is kept until the hedge has brought the next part of the response, and a
hedge is only sent to an upstream that can accept it. Invariants: a request has
at most one hedge at a time; each hedge that is sent is charged to the retry
budget; a hedge waits behind all requests that can still be served in time.
"""

from persimmonhold.fleet._attempt_end import AttemptEnd
from persimmonhold.fleet._forward_action import ForwardAction
from persimmonhold.fleet._forward_dispatcher import (
    BUDGET_SPENT,
    MAX_SENDS,
    NOT_RECEIVED,
    ForwardDispatcher,
    exclude_upstream,
)
from persimmonhold.fleet._request_queue import PendingRequest


def record_overdue(
    dispatcher: ForwardDispatcher, pending: PendingRequest, now: float
) -> None:
    """Count an attempt without a response as failed, though it may go on."""
    tracker = dispatcher.chooser.trackers.get(pending.upstream)
    if tracker is not None:
        tracker.record_overdue(pending.request.number, now)


def submit_hedge(
    dispatcher: ForwardDispatcher,
    request_number: int,
    hedge_number: int,
    now: float,
) -> tuple[ForwardAction, ...]:
    """Dispatch or enqueue a hedge of a request that was sent.

    Returns no action for the hedge while it waits. Returns nothing and creates
    no hedge if no other upstream may run the request.
    """
    pending = dispatcher.pending.get(request_number)
    if pending is None or not pending.upstream:
        return ()
    if not pending.has_response_begun and pending.send_count >= MAX_SENDS:
        return ()
    exclude_upstream(dispatcher.chooser, pending, AttemptEnd.silent, now)
    hedge = pending.create_hedge(hedge_number, now)
    if pending.has_response_begun and not dispatcher.chooser.has_holder(
        hedge, now
    ):
        return ()
    dispatcher.pending[hedge_number] = hedge
    return dispatcher.dispatch_or_enqueue(hedge, now)


def adopt_hedge(
    dispatcher: ForwardDispatcher,
    request_number: int,
    hedge_number: int,
    outcome: AttemptEnd,
    now: float,
) -> tuple[ForwardAction, ...]:
    """Have a hedge stand for its request, whose first attempt has ended.

    It is no hedge any more. If it waits, it is a retry like any other.
    """
    refusals: tuple[ForwardAction, ...] = ()
    hedge = dispatcher.pending.get(hedge_number)
    if hedge is not None:
        hedge.hedged = None
        is_charged = bool(hedge.upstream) or outcome in NOT_RECEIVED
        if not is_charged and not dispatcher.try_spend_retry(hedge, now):
            refusals = (dispatcher.refuse(hedge, BUDGET_SPENT, now),)
    return (
        *refusals,
        *dispatcher.finish_request(request_number, outcome, now),
    )


def drop_hedge(
    dispatcher: ForwardDispatcher,
    hedge_number: int,
    outcome: AttemptEnd,
    now: float,
) -> tuple[ForwardAction, ...]:
    """Remove a hedge whose request goes on without it."""
    hedge = dispatcher.pending.get(hedge_number)
    if hedge is not None and hedge.hedged is not None and hedge.upstream:
        hedge.hedged.send_count = hedge.send_count
        if outcome in NOT_RECEIVED:
            dispatcher.retry_budget(hedge.request.service).return_retry()
        if outcome is not AttemptEnd.cancelled:
            exclude_upstream(dispatcher.chooser, hedge, outcome, now)
    return dispatcher.finish_request(hedge_number, outcome, now)
