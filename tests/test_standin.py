"""Tests the memory, faults, generations and caches of the stand-ins."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from persimmonhold.messages import (
    LoadReport,
    Order,
    OrderKind,
    OrderOutcome,
    Residency,
)
from persimmonhold.standin import EngineMemory, Faults, Generation
from persimmonhold.standin._load_history import LoadHistory
from persimmonhold.standin._prefix_cache import PrefixCache

_BLOCK = 'x' * 256


@pytest.fixture
def memory() -> EngineMemory:
    return EngineMemory('boot', {'a0': 100})


def _order(fence: int, kind: OrderKind = OrderKind.load) -> Order:
    return Order(
        fence=fence,
        kind=kind,
        upstream='e',
        accelerator='a0',
        target=f'm{fence}' if kind is OrderKind.load else 'm1',
        version='1',
        memory_bytes=60,
    )


def _execute(memory: EngineMemory, order: Order) -> None:
    if memory.begin_order(order):
        memory.complete_order(order)


def test_overcommit_is_recorded_and_not_prevented(
    memory: EngineMemory,
) -> None:
    _execute(memory, _order(1))
    assert_that(memory.overcommitted, Equals(0))
    _execute(memory, _order(2))
    assert_that(memory.overcommitted, Equals(1))
    assert_that(memory.peak_bytes['a0'], Equals(120))
    assert_that(memory.is_serving('m2'), Equals(True))


def test_resend_of_a_load_takes_memory_once(memory: EngineMemory) -> None:
    for _ in range(3):
        outcome = memory.answer_order(_order(1)).outcome
        assert_that(outcome, Equals(OrderOutcome.accepted))
        _execute(memory, _order(1))
    assert_that(memory.held_bytes('a0'), Equals(60))
    assert_that(memory.loads, Equals(1))


@pytest.mark.parametrize(
    ('checks', 'outcome'),
    [(True, OrderOutcome.stale_fence), (False, OrderOutcome.accepted)],
)
def test_old_fence_is_refused_where_fences_are_checked(
    memory: EngineMemory,
    checks: bool,
    outcome: OrderOutcome,
) -> None:
    memory.checks_fencing = checks
    memory.answer_order(_order(5))
    assert_that(memory.answer_order(_order(4)).outcome, Equals(outcome))


def test_unload_frees_memory(memory: EngineMemory) -> None:
    _execute(memory, _order(1))
    _execute(memory, _order(2, OrderKind.unload))
    assert_that(memory.held_bytes('a0'), Equals(0))
    assert_that(memory.build_inventory().held, HasLength(0))


def test_load_under_way_holds_memory_but_does_not_serve(
    memory: EngineMemory,
) -> None:
    memory.begin_order(_order(1))
    held = memory.build_inventory().held
    assert_that(held[0].residency, Equals(Residency.loading))
    assert_that(memory.is_serving('m1'), Equals(False))
    assert_that(memory.held_bytes('a0'), Equals(60))


@given(
    prompt=st.text(max_size=40),
    limit=st.integers(min_value=1, max_value=30),
    offset=st.integers(min_value=0, max_value=30),
)
def test_resumed_generation_goes_on_with_the_same_tokens(
    prompt: str,
    limit: int,
    offset: int,
) -> None:
    document = {'model': 'm', 'prompt': prompt, 'max_tokens': limit}
    whole = [Generation(document, 0, 0).token_at(at) for at in range(limit)]
    resumed = Generation(document, 0, min(offset, limit))
    produced: list[str] = []
    while not resumed.is_complete:
        resumed.produce_token()
        produced.append(resumed.token_queue.get_nowait())
    assert_that(produced, Equals(whole[min(offset, limit) :]))


def test_prefix_cache_hits_and_publishes() -> None:
    cache = PrefixCache(seed=0)
    assert_that(cache.look_up_and_store('m', _BLOCK * 2), Equals(0))
    assert_that(cache.look_up_and_store('m', _BLOCK * 3), Equals(2))
    page = cache.read_events('boot', after=1)
    assert_that([event.sequence for event in page.events], Equals([2, 3]))


def test_lost_cache_events_leave_gaps() -> None:
    cache = PrefixCache(seed=0)
    cache.event_loss = 0.5
    for number in range(20):
        cache.look_up_and_store('m', f'{number:<256}')
    page = cache.read_events('boot', after=0)
    assert_that(page.last, Equals(20))
    assert_that(0 < len(page.events) < 20, Equals(True))


def test_load_reports_lag() -> None:
    history = LoadHistory()
    history.lag_ms = 1000
    reports = [
        LoadReport(
            boot_id='b',
            age_ms=0,
            running=running,
            waiting=0,
            slots=8,
            kv_used_fraction=0,
            prefill_tokens_per_second=1,
            decode_step_ms=1,
        )
        for running in range(4)
    ]
    published = [
        history.record_report(second, report)
        for second, report in enumerate(reports)
    ]
    assert_that(published[-1].running, Equals(2))
    assert_that(published[-1].age_ms, Equals(1000))


def test_unknown_faults_are_refused() -> None:
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(b'{"explode": true}', type=Faults)
    assert_that(msgspec.json.decode(b'{}', type=Faults), Equals(Faults()))
