"""The directory of entries, and the drain of an entry."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan, Not

from persimmonhold.directory import Directory, Drain, DrainPhase
from persimmonhold.messages import ControlView, VmRecord

_TTL_S = 10.0
_MARGIN_S = 2.0
_TIMEOUT_S = 60.0
_ALL = frozenset(f'vm{number}' for number in range(7))


@pytest.fixture
def directory() -> Directory:
    return Directory('vm1', 'fd1', _TTL_S)


def _view(*draining: str) -> ControlView:
    vms = tuple(
        VmRecord(
            name=f'vm{number}',
            failure_domain=f'fd{number % 3}',
            callers='' if number == 6 else f'10.0.0.{number}:80',
            draining=f'vm{number}' in draining,
        )
        for number in range(7)
    )
    return ControlView(index=8, vms=vms)


def _addresses(directory: Directory, view: ControlView) -> list[str]:
    return [
        entry.address for entry in directory.list_entries(view, _ALL).entries
    ]


def test_own_failure_domain_comes_first(directory: Directory) -> None:
    answer = directory.list_entries(_view(), _ALL)
    domains = [entry.failure_domain for entry in answer.entries]
    assert_that(domains[:2], Equals(['fd1', 'fd1']))
    assert_that(domains[2:], Not(Contains('fd1')))
    assert_that(answer.ttl_s, Equals(_TTL_S))
    assert_that(answer.revision, Equals(8))


def test_asked_failure_domain_comes_first(directory: Directory) -> None:
    answer = directory.list_entries(_view(), _ALL, 'fd2')
    assert_that(answer.entries[0].failure_domain, Equals('fd2'))


def test_overloaded_entry_sends_callers_elsewhere(
    directory: Directory,
) -> None:
    idle = {
        entry.address: entry
        for entry in directory.list_entries(_view(), _ALL).entries
    }
    directory.load_fraction = 0.95
    busy = directory.list_entries(_view(), _ALL).entries
    own = next(entry for entry in busy if entry.address == '10.0.0.1:80')
    assert_that(busy[0].failure_domain, Equals('fd0'))
    assert_that(own.weight, LessThan(idle['10.0.0.1:80'].weight))
    assert_that(own.weight, GreaterThan(0))


@given(st.sets(st.sampled_from([f'vm{number}' for number in range(6)])))
def test_draining_entries_are_never_given_while_others_serve(
    draining: set[str],
) -> None:
    directory = Directory('vm1', 'fd1', _TTL_S)
    directory.is_leaving = 'vm1' in draining
    given_out = set(_addresses(directory, _view(*draining)))
    left = {f'10.0.0.{number}:80' for number in range(6)}
    gone = {f'10.0.0.{name[2:]}:80' for name in draining}
    assert_that(given_out, Equals(left - gone or left))


def test_leaving_entry_is_out_of_its_own_answers_at_once(
    directory: Directory,
) -> None:
    directory.is_leaving = True
    assert_that(
        _addresses(directory, _view()),
        Not(Contains('10.0.0.1:80')),
    )


@given(
    st.lists(st.tuples(st.floats(0, 30), st.integers(0, 3)), max_size=30),
)
def test_drain_serves_for_the_ttl_and_cuts_nothing_before_its_time(
    steps: list[tuple[float, int]],
) -> None:
    drain = Drain(_TTL_S, _MARGIN_S, _TIMEOUT_S)
    drain.start_drain(-1)
    drain.record_directory_exit(0)
    now = 0.0
    order = list(DrainPhase)
    for elapsed, running in steps:
        now += elapsed
        before = drain.phase
        phase = drain.advance(now, running)
        assert_that(order.index(phase), Not(LessThan(order.index(before))))
        if phase is not DrainPhase.leaving:
            assert_that(now, Not(LessThan(_TTL_S + _MARGIN_S)))
        if phase is DrainPhase.drained and before is not phase and running:
            assert_that(now, Not(LessThan(drain.schedule.ends_at)))


def test_second_signal_does_not_prolong_a_drain() -> None:
    drain = Drain(_TTL_S, _MARGIN_S, _TIMEOUT_S)
    drain.start_drain(0)
    drain.start_drain(5)
    assert_that(drain.schedule.closes_at, Equals(_TTL_S + _MARGIN_S))


@pytest.mark.parametrize('begun_s', [0.0, 5.0, 20.0, 71.0])
def test_drain_at_once_closes_now_and_is_not_prolonged(begun_s: float) -> None:
    drain = Drain(_TTL_S, _MARGIN_S, _TIMEOUT_S)
    drain.start_drain(0)
    drain.advance(begun_s, 1)
    planned = drain.schedule
    drain.close_at_once(begun_s, 30)
    assert_that(drain.schedule.closes_at, Not(GreaterThan(begun_s)))
    earlier = min(planned.ends_at, begun_s + 30)
    assert_that(drain.schedule.ends_at, Equals(earlier))
    assert_that(drain.advance(begun_s, 1), Equals(DrainPhase.closing))


def test_drain_at_once_needs_no_drain_before() -> None:
    drain = Drain(_TTL_S, _MARGIN_S, _TIMEOUT_S)
    drain.close_at_once(7, 300)
    assert_that(drain.schedule.closes_at, Equals(7))
    assert_that(drain.schedule.ends_at, Equals(7 + _TIMEOUT_S))
    assert_that(drain.advance(7, 1), Equals(DrainPhase.closing))


def test_silent_entries_are_left_out_while_others_are_heard(
    directory: Directory,
) -> None:
    heard = directory.list_entries(_view(), _ALL - {'vm1', 'vm2'})
    none_heard = directory.list_entries(_view(), frozenset())
    given_out = {entry.address for entry in heard.entries}
    assert_that(given_out, Not(Contains('10.0.0.1:80')))
    assert_that(len(none_heard.entries), Equals(6))
