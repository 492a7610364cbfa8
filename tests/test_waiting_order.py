"""Tests of the order of waiting requests when capacity is short."""

import random
import sys
from collections import Counter
from typing import Final

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from persimmonhold.fleet import (
    AttemptEnd,
    DispatchRequest,
    ForwardDispatcher,
    RefuseRequest,
    SendRequest,
)
from tests.fleet_builders import (
    make_dispatcher,
    make_facts,
    make_request,
    make_route,
)

_TOLERANT_TARGET_MS: Final = 8000
_GIVES_UP_S: Final = 30.0


def _make(
    number: int,
    now: float = 0.0,
    priority: int = 0,
    target_ms: int = 500,
    workspace: str = '',
    prompt: int = 600,
    model: str = 'm1',
) -> DispatchRequest:
    route = msgspec.structs.replace(
        make_route(priority=priority), target_ms=target_ms
    )
    made = make_request(number, now, model, route=route)
    return msgspec.structs.replace(
        made,
        workspace=workspace,
        profile=msgspec.structs.replace(
            made.profile, prompt_tokens=prompt, output_tokens=200
        ),
        caller_waits_until=now + _GIVES_UP_S,
        ends_at=now + 2 * _GIVES_UP_S,
    )


def _make_tolerant(number: int, now: float = 0.0) -> DispatchRequest:
    return _make(number, now, 5, _TOLERANT_TARGET_MS)


def _make_full(slots: int = 1) -> ForwardDispatcher:
    """Return a dispatcher whose only upstream is full with request 0."""
    dispatcher = make_dispatcher(make_facts('u1', ('m1', 'm2'), slots=slots))
    dispatcher.submit_request(_make(0), 0)
    return dispatcher


def _drain(dispatcher: ForwardDispatcher, count: int, now: float) -> list[int]:
    """End the running request `count` times; return the requests sent."""
    sent: list[int] = []
    running = 0
    for _ in range(count):
        actions = dispatcher.finish_request(running, AttemptEnd.answered, now)
        for action in actions:
            assert isinstance(action, SendRequest)
            running = action.number
            sent.append(running)
    return sent


def test_late_urgent_request_goes_before_tolerant_work() -> None:
    """Urgent work waited behind all tolerant work once it was late."""
    dispatcher = _make_full()
    dispatcher.submit_request(_make_tolerant(1), 0)
    dispatcher.submit_request(_make(2), 0)
    assert_that(_drain(dispatcher, 2, 1.0), Equals([2, 1]))


def test_late_urgent_request_goes_first_across_models() -> None:
    """The queues of two models compete for the same slot."""
    dispatcher = _make_full()
    dispatcher.submit_request(_make_tolerant(1), 0)
    dispatcher.submit_request(_make(2, model='m2'), 0)
    assert_that(_drain(dispatcher, 2, 1.0), Equals([2, 1]))


def test_tolerant_request_near_its_due_time_goes_before_late_work() -> None:
    """Late urgent work would make it late as well, and earn little."""
    dispatcher = _make_full()
    dispatcher.submit_request(_make_tolerant(1), 0)
    dispatcher.submit_request(_make(2, 6.0), 6.0)
    assert_that(_drain(dispatcher, 2, 7.5), Equals([1, 2]))


def test_late_request_goes_behind_its_peers_in_time() -> None:
    """It would push out one that can still earn its full credit."""
    dispatcher = _make_full()
    dispatcher.submit_request(_make(1), 0)
    dispatcher.submit_request(_make(2, 0.9), 0.9)
    assert_that(_drain(dispatcher, 2, 1.0), Equals([2, 1]))


def test_order_without_late_work_is_by_priority_and_due_time() -> None:
    """Routes of different priority are ordered as before while in time."""
    dispatcher = _make_full()
    dispatcher.submit_request(_make_tolerant(1), 0)
    dispatcher.submit_request(_make(2, 0, target_ms=450), 0)
    dispatcher.submit_request(_make(3, 0, target_ms=400), 0)
    assert_that(_drain(dispatcher, 3, 0.1), Equals([3, 2, 1]))


def test_tolerant_work_has_its_share_while_late_urgent_work_waits() -> None:
    """It would starve for as long as more urgent work than capacity came."""
    dispatcher = _make_full()
    for urgent in range(1, 61):
        dispatcher.submit_request(_make(urgent), 0)
    for number in range(61, 81):
        dispatcher.submit_request(_make_tolerant(number), 0)
    tolerant = sum(one > 60 for one in _drain(dispatcher, 50, 1.0))
    assert_that(tolerant, GreaterThan(3))
    assert_that(tolerant, LessThan(7))


def test_places_in_the_order_are_those_of_the_wait_estimate() -> None:
    """A refusal would promise a retry time that the order does not keep."""
    dispatcher = _make_full()
    for tolerant in range(1, 20):
        dispatcher.submit_request(_make_tolerant(tolerant), 0)
    dispatcher.submit_request(_make(20), 0)
    dispatcher.dispatch_waiting(1.0)
    queue = dispatcher.queues['models', 'm1']
    ahead = [
        queue.count_ahead(dispatcher.pending[number]) for number in range(1, 21)
    ]
    sent = _drain(dispatcher, 20, 1.0)
    assert_that([sent.index(number) for number in range(1, 21)], Equals(ahead))


def test_workspace_within_its_share_goes_before_one_above_it() -> None:
    """A workspace that sends six times as much took all the capacity."""
    dispatcher = _make_full()
    owners: dict[int, str] = {}
    for number in range(1, 151):
        # Of ten requests, six are of one workspace.
        is_big = number % 10 < 6
        workspace = 'big' if is_big else f'w{number % 15}'
        owners[number] = workspace
        dispatcher.submit_request(
            _make(number, 0, target_ms=20_000, workspace=workspace), 0
        )
    sent = _drain(dispatcher, 150, 0.1)
    first = [owners[one] for one in sent[:60]]
    assert_that(first.count('big'), LessThan(15))
    assert_that(len(sent), Equals(150), 'the others use what is left')


def test_order_does_not_change_by_share_without_workspaces() -> None:
    """A deployment without workspaces is served by due time as before."""
    dispatcher = _make_full()
    for number in range(1, 21):
        prompt = 4000 if number % 2 else 100
        dispatcher.submit_request(
            _make(number, 0, target_ms=9000 - number, prompt=prompt), 0
        )
    assert_that(_drain(dispatcher, 20, 0.1), Equals(list(range(20, 0, -1))))


@pytest.mark.parametrize('seed', range(3))
def test_largest_tenth_is_served_half_as_often_at_least(seed: int) -> None:
    """Fairness in tokens must not starve the largest requests."""
    rng = random.Random(seed)
    dispatcher = _make_full()
    large: set[int] = set()
    for number in range(1, 301):
        is_large = number % 10 == 0
        if is_large:
            large.add(number)
        request = _make(
            number,
            0,
            target_ms=20_000,
            workspace=f'w{rng.randrange(16)}',
            prompt=4000 if is_large else 600,
        )
        dispatcher.submit_request(request, 0)
    sent = _drain(dispatcher, 150, 0.1)
    served = len(large.intersection(sent)) / len(large)
    assert_that(served, GreaterThan(0.5 * len(sent) / 300))


def test_hundred_callers_at_once_are_refused_at_once_at_different_times() -> (
    None
):
    """They would all come back in the same moment, or wait in vain."""
    dispatcher = _make_full()
    refused: list[float] = []
    for number in range(1, 101):
        request = msgspec.structs.replace(
            _make(number, 1.0), caller_waits_until=2.8
        )
        for action in dispatcher.submit_request(request, 1.0):
            assert isinstance(action, RefuseRequest)
            assert_that(action.number, Equals(number))
            refused.append(action.retry_after_s)
    waiting = len(dispatcher.queues['models', 'm1'])
    assert_that(len(refused), GreaterThan(50))
    assert_that(waiting + len(refused), Equals(100))
    # No slot is expected before those that wait have had theirs.
    assert_that(min(refused), GreaterThan(1.5))
    assert_that(max(refused) / min(refused), GreaterThan(1.3))
    assert_that(len(set(refused)), Equals(len(refused)))


def _count_calls(waiting: int) -> int:
    """Count the calls of one ordering of a number of waiting requests."""
    dispatcher = _make_full()
    for number in range(1, waiting + 1):
        dispatcher.submit_request(
            _make(number, 0, number % 3, workspace=f'w{number % 16}'), 0
        )
    assert_that(len(dispatcher.pending), Equals(waiting + 1))
    events: Counter[str] = Counter()

    def record(frame: object, event: str, argument: object) -> None:
        events[event] += 1

    sys.setprofile(record)
    try:
        dispatcher.dispatch_waiting(1.0)
    finally:
        sys.setprofile(None)
    return events['call']


def test_cost_of_the_order_grows_hardly_faster_than_the_queue() -> None:
    """A scan of the queue for each request would cost sixteen times as much."""
    assert_that(_count_calls(320), LessThan(6 * _count_calls(80)))
