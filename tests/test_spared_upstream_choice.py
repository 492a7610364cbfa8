"""Decisions of an entry about upstreams that want no new requests of it."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is, LessThan

from persimmonhold.fleet import (
    ForwardDispatcher,
    RefuseRequest,
    SendRequest,
)
from persimmonhold.sparing import SparedUpstreams
from tests.fleet_builders import (
    make_dispatcher,
    make_facts,
    make_listed,
    make_request,
    make_update,
    only,
)


def _chosen(dispatcher: ForwardDispatcher, now: float) -> set[str]:
    """Return the upstreams to which ten requests are sent, one at a time."""
    chosen: set[str] = set()
    for number in range(100, 110):
        for action in dispatcher.submit_request(make_request(number, now), now):
            assert isinstance(action, SendRequest)
            chosen.add(action.upstream.name)
        dispatcher.chooser.trackers['u2'].running.clear()
        dispatcher.chooser.trackers['u1'].running.clear()
        dispatcher.pending.clear()
    return chosen


def test_updates_and_lists_that_show_it_as_ready_do_not_undo_a_leave() -> None:
    dispatcher = make_dispatcher(make_facts('u1'), make_facts('u2'))
    spared = dispatcher.chooser.spared
    spared.record_leaving(('u1', 1), 1.0)
    both = (make_facts('u1'), make_facts('u2'))
    dispatcher.apply_update(make_update(*both, sequence=2), 2.0)
    assert_that(_chosen(dispatcher, 2.0), Equals({'u2'}))
    gone = make_update(make_facts('u2'), sequence=3)
    dispatcher.apply_update(gone, 3.0)
    dispatcher.apply_update(make_update(*both, sequence=4), 4.0)
    assert_that(_chosen(dispatcher, 4.0), Equals({'u2'}))
    dispatcher.apply_list((make_listed('u1'), make_listed('u2')), 5.0)
    assert_that(spared.is_spared('u1', 5.0), Is(True))


@pytest.mark.parametrize(
    ('known_born', 'facts_born', 'is_spared'),
    [(0, 0, True), (0, 5, True), (5, 5, True), (5, 0, True), (5, 6, False)],
)
def test_leave_holds_for_one_process(
    known_born: int, facts_born: int, is_spared: bool
) -> None:
    spared = SparedUpstreams()
    spared.track(('u1', known_born), 'models', 0.0)
    spared.record_leaving(('u1', known_born), 1.0)
    spared.track(('u1', facts_born), 'models', 2.0)
    assert_that(spared.is_spared('u1', 2.0), Is(is_spared))


def test_birth_that_was_learned_later_tells_the_next_process_apart() -> None:
    spared = SparedUpstreams()
    spared.record_leaving(('u1', 0), 1.0)
    spared.track(('u1', 5), 'models', 2.0)
    spared.track(('u1', 6), 'models', 3.0)
    assert_that(spared.is_spared('u1', 3.0), Is(False))


def test_response_of_a_replaced_process_says_nothing_about_the_new_one() -> (
    None
):
    spared = SparedUpstreams()
    spared.track(('u1', 6), 'models', 0.0)
    spared.record_leaving(('u1', 5), 1.0)
    spared.record_turned_away(('u1', 5), 9.0, 1.0)
    assert_that(spared.is_spared('u1', 1.0), Is(False))


def test_newer_process_at_the_same_address_is_served_at_once() -> None:
    dispatcher = make_dispatcher(make_facts('u1'), make_facts('u2'))
    dispatcher.chooser.spared.record_leaving(('u1', 1), 1.0)
    # `make_facts` gives all upstreams the same address.
    facts = (make_facts('u2'), make_facts('u3'))
    dispatcher.apply_update(make_update(*facts, sequence=2), 2.0)
    assert_that(dispatcher.chooser.spared.is_spared('u3', 2.0), Is(False))
    assert_that(dispatcher.chooser.trackers['u3'].is_available(2.0), Is(True))


@pytest.mark.parametrize(
    ('later_s', 'ends_at'), [(1.0, 5.0), (3.0, 5.0), (9.0, 11.0)]
)
def test_later_response_may_only_lengthen_the_time(
    later_s: float, ends_at: float
) -> None:
    spared = SparedUpstreams()
    spared.record_turned_away(('u1', 1), 5.0, 0.0)
    spared.record_turned_away(('u1', 1), later_s, 2.0)
    assert_that(spared.is_spared('u1', ends_at - 0.01), Is(True))
    assert_that(spared.is_spared('u1', ends_at), Is(False))


def test_model_held_where_requests_are_turned_away_is_expected_elsewhere() -> (
    None
):
    dispatcher = make_dispatcher(make_facts('u1'), make_facts('u2', ('m2',)))
    dispatcher.chooser.spared.record_turned_away(('u1', 1), 30.0, 0.0)
    assert_that(dispatcher.submit_request(make_request(1), 0), Equals(()))
    dispatcher.apply_update(
        make_update(make_facts('u1'), make_facts('u2'), sequence=2), 0.7
    )
    assert_that(dispatcher.chooser.trackers['u2'].running, HasLength(1))


def test_refusal_names_the_turning_away_and_its_end() -> None:
    dispatcher = make_dispatcher(make_facts('u1'), make_facts('u2'))
    dispatcher.chooser.spared.record_turned_away(('u1', 1), 30.0, 0.0)
    dispatcher.chooser.spared.record_turned_away(('u2', 1), 10.0, 0.0)
    action = only(dispatcher.submit_request(make_request(1), 0))
    assert isinstance(action, RefuseRequest)
    assert_that(action.reason, Equals('upstreams_turned_away'))
    assert_that(action.retry_after_s, GreaterThan(9.99))
    assert_that(action.retry_after_s, LessThan(14.01))


def test_requests_wait_where_the_time_ends_before_their_callers_leave() -> None:
    dispatcher = make_dispatcher(make_facts('u1'))
    dispatcher.chooser.spared.record_turned_away(('u1', 1), 0.5, 0.0)
    assert_that(dispatcher.submit_request(make_request(1), 0), Equals(()))
    assert_that(dispatcher.dispatch_waiting(0.49), Equals(()))
    sent = only(dispatcher.dispatch_waiting(0.5))
    assert isinstance(sent, SendRequest)


def test_refusal_names_that_upstreams_leave() -> None:
    dispatcher = make_dispatcher(make_facts('u1'))
    dispatcher.chooser.spared.record_leaving(('u1', 1), 0.0)
    dispatcher.submit_request(make_request(1), 0)
    action = only(dispatcher.dispatch_waiting(3.0))
    assert isinstance(action, RefuseRequest)
    assert_that(action.reason, Equals('upstreams_leaving'))


def test_time_is_counted_while_no_facts_show_the_upstream() -> None:
    spared = SparedUpstreams()
    spared.track(('u1', 1), 'models', 0.0)
    spared.record_turned_away(('u1', 1), 5.0, 0.0)
    spared.release('u1', 1.0)
    spared.track(('u1', 1), 'models', 2.0)
    assert_that(spared.is_spared('u1', 4.9), Is(True))
    assert_that(spared.is_spared('u1', 5.0), Is(False))


def test_upstreams_that_are_long_gone_are_forgotten() -> None:
    spared = SparedUpstreams()
    for number in range(50):
        spared.track((f'u{number}', 1), 'models', 0.0)
        spared.record_leaving((f'u{number}', 1), 0.0)
        spared.release(f'u{number}', 1.0)
    spared.pop_changes(10.0)
    assert_that(spared.views, HasLength(50))
    spared.pop_changes(200.0)
    assert_that(spared.views, HasLength(0))
    assert_that(spared.absent_since, HasLength(0))
