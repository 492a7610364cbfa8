"""The choice of upstreams with late, lost and wrong reports and events."""

from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is, LessThan

from persimmonhold.catalogue import ServiceClass
from persimmonhold.messages import (
    CacheEvent,
    CacheEventPage,
    ControlView,
    CopyState,
)
from persimmonhold.routing import (
    AttemptOutcome,
    Router,
    RouteRequest,
    RouterSettings,
)
from tests.routing_builders import copy_of, report, router_over, view_of

_FULL_SUBSET = RouterSettings(min_subset_endpoints=9)

_REQUEST = RouteRequest(
    target='m',
    service_class=ServiceClass.interactive,
    prompt_tokens=80,
)
_SERVICE_REQUEST = RouteRequest(
    target='status',
    service_class=ServiceClass.call,
    is_service=True,
)
_BLOCKS = tuple(f'{number:016x}' for number in range(1, 9))
_LONG_PROMPT_REQUEST = RouteRequest(
    target='m',
    service_class=ServiceClass.interactive,
    prompt_tokens=8 * 64,
    prefix_hashes=_BLOCKS,
)


@pytest.fixture
def view() -> ControlView:
    return view_of(9, {'m': range(9)}, replicas=6)


def _send(
    router: Router,
    now: float,
    request: RouteRequest = _REQUEST,
) -> str:
    route = router.choose_route(request, now)
    assert route is not None
    router.record_attempt_start(route, request, now)
    return route.upstream


def _sample_upstreams(
    router: Router, request: RouteRequest, now: float
) -> set[str]:
    routes = [router.choose_route(request, now) for _ in range(64)]
    return {route.upstream for route in routes if route}


def _usable_upstreams(
    router: Router, request: RouteRequest, now: float
) -> set[str]:
    found: set[str] = set()
    while True:
        excluded = frozenset(found)
        route = router.choose_route(
            replace(request, excluded_upstreams=excluded), now
        )
        if route is None:
            return found
        found.add(route.upstream)


def _event_page(*sequences: int, last: int = 0) -> CacheEventPage:
    events = tuple(
        CacheEvent(
            sequence=sequence,
            target='m',
            prefix_hash=_BLOCKS[sequence - 1],
            stored=True,
        )
        for sequence in sequences
    )
    return CacheEventPage(
        boot_id='b',
        last=last or max(sequences),
        events=events,
    )


@given(seed=st.integers(0, 1000), sends=st.integers(1, 40))
def test_own_sends_correct_a_lagging_report(seed: int, sends: int) -> None:
    router = router_over(view_of(2, {'m': (0, 1)}), seed)
    for number in (0, 1):
        router.apply_load_report(f'e{number}', report(age_ms=2000), 10)
    sent = Counter(_send(router, 10) for _ in range(sends))
    assert_that(abs(sent['e0'] - sent['e1']), LessThan(2))


def test_own_sends_add_to_what_others_run() -> None:
    router = router_over(view_of(1, {'m': (0,)}))
    router.apply_load_report('e0', report(running=5, age_ms=1000), 10)
    _send(router, 10)
    _send(router, 10)
    load = router.upstream_states['e0'].load
    assert_that(load.estimated_requests(10), Equals(7))
    router.apply_load_report('e0', report(running=6), 10.5)
    assert_that(load.estimated_requests(10.5), Equals(6))


def test_report_from_before_own_sends_does_not_hold_them() -> None:
    router = router_over(view_of(1, {'m': (0,)}))
    _send(router, 10)
    _send(router, 10)
    router.apply_load_report('e0', report(running=5, age_ms=700), 10.5)
    assert_that(
        router.upstream_states['e0'].load.estimated_requests(10.5), Equals(7)
    )


def test_late_report_does_not_replace_a_newer_one(view: ControlView) -> None:
    router = router_over(view)
    router.apply_load_report('e0', report(running=3), 10)
    router.apply_load_report('e0', report(running=0, age_ms=900), 10.5)
    assert_that(
        router.upstream_states['e0'].load.estimated_requests(10.5), Equals(3)
    )


def test_entries_do_not_herd_on_the_idlest(view: ControlView) -> None:
    sent: Counter[str] = Counter()
    for entry in range(9):
        name = f'v{entry}'
        router = router_over(view, entry, name, _FULL_SUBSET)
        for number in range(9):
            busy = 0 if number == 0 else 6
            router.apply_load_report(f'e{number}', report(busy, slots=8), 10)
        sent.update(_send(router, 10) for _ in range(10))
    assert_that(sent['e0'], LessThan(90 * 0.45))


def test_wrong_report_is_corrected_by_first_tokens() -> None:
    router = router_over(view_of(2, {'m': (0, 1)}))
    for step in range(40):
        now = 10 + step / 10
        router.apply_load_report('e0', report(), now)
        router.apply_load_report('e1', report(running=2), now)
        route = router.choose_route(_REQUEST, now)
        assert route is not None
        attempt = router.record_attempt_start(route, _REQUEST, now)
        late = 0.4 if route.upstream == 'e0' else 0.03
        router.record_first_token(attempt, now + late)
        router.record_attempt_end(attempt, AttemptOutcome.completed, now + late)
    assert_that(_sample_upstreams(router, _REQUEST, 14.1), Equals({'e1'}))


def test_gap_makes_the_prefix_index_unknown(view: ControlView) -> None:
    router = router_over(view)
    router.apply_cache_events('e0', _event_page(1, 2), 1)
    index = router.upstream_states['e0'].prefix_index
    blocks = [int(text, 16) for text in _BLOCKS]
    assert_that(index.count_cached_blocks(blocks), Equals(2))
    router.apply_cache_events('e0', _event_page(4), 2)
    assert_that(index.count_cached_blocks(blocks), Equals(0))
    route = router.choose_route(_LONG_PROMPT_REQUEST, 2)
    assert route is not None
    attempt = router.record_attempt_start(route, _LONG_PROMPT_REQUEST, 2)
    router.record_first_token(attempt, 2.1)
    confirmed = router.upstream_states[route.upstream].prefix_index
    assert_that(confirmed.count_cached_blocks(blocks), Equals(len(blocks)))


def test_lost_last_event_is_a_gap_too(view: ControlView) -> None:
    router = router_over(view)
    router.apply_cache_events('e0', _event_page(1, 2, last=5), 1)
    blocks = [int(text, 16) for text in _BLOCKS]
    assert_that(
        router.upstream_states['e0'].prefix_index.count_cached_blocks(blocks),
        Equals(0),
    )


def test_prefix_holder_wins_unless_loaded(view: ControlView) -> None:
    router = router_over(view, settings=_FULL_SUBSET)
    router.apply_cache_events('e4', _event_page(*range(1, 9)), 1)
    assert_that(
        _sample_upstreams(router, _LONG_PROMPT_REQUEST, 1), Equals({'e4'})
    )
    router.apply_load_report('e4', report(running=4, waiting=4), 1)
    assert_that(
        'e4' in _sample_upstreams(router, _LONG_PROMPT_REQUEST, 1), Is(False)
    )


@given(st.lists(st.integers(1, 2**63), max_size=200))
def test_prefix_index_is_bounded(hashes: list[int]) -> None:
    settings = RouterSettings(prefix_blocks_per_upstream=16)
    router = router_over(view_of(1, {'m': (0,)}), settings=settings)
    index = router.upstream_states['e0'].prefix_index
    index.confirm_blocks([f'{digest:016x}' for digest in hashes])
    assert_that(len(index), LessThan(17))


_LEAVING_SIGNALS: tuple[Callable[[Router], None], ...] = (
    lambda router: router.apply_load_report('e0', report(leaving=True), 5),
    lambda router: router.set_leaving_in_vm_list('e0', is_leaving=True, now=5),
    lambda router: router.record_refused_connection('e0', 5),
)


@pytest.mark.parametrize('signal', _LEAVING_SIGNALS)
def test_each_sign_alone_stops_new_work_at_once(
    signal: Callable[[Router], None],
    view: ControlView,
) -> None:
    router = router_over(view, settings=_FULL_SUBSET)
    assert_that('e0' in _usable_upstreams(router, _REQUEST, 5), Is(True))
    signal(router)
    assert_that('e0' in _usable_upstreams(router, _REQUEST, 5), Is(False))


def test_refused_connection_is_tried_again_later() -> None:
    router = router_over(view_of(1, {'m': (0,)}))
    router.record_refused_connection('e0', 5)
    assert_that(router.choose_route(_REQUEST, 5.9), Is(None))
    assert_that(_sample_upstreams(router, _REQUEST, 6), Equals({'e0'}))


def test_withdrawn_and_loading_copies_get_nothing() -> None:
    extra = (
        copy_of('m', 1, CopyState.withdrawing),
        copy_of('m', 2, CopyState.loading),
    )
    router = router_over(view_of(3, {'m': (0,)}, extra=extra))
    assert_that(_sample_upstreams(router, _REQUEST, 1), Equals({'e0'}))


def test_adapter_needs_its_base_beside_it() -> None:
    extra = tuple(copy_of('adapter', number, version='1') for number in (1, 2))
    router = router_over(view_of(3, {'m': (0, 1)}, extra=extra))
    request = RouteRequest(
        target='adapter',
        base='m',
        service_class=ServiceClass.interactive,
    )
    assert_that(_sample_upstreams(router, request, 1), Equals({'e1'}))


def test_either_version_serves_during_an_upgrade() -> None:
    extra = (copy_of('m', 1, version='1'),)
    router = router_over(view_of(2, {'m': (0,)}, extra=extra))
    assert_that(_sample_upstreams(router, _REQUEST, 1), Equals({'e0'}))
    router.apply_load_report('e0', report(running=4, waiting=2), 1)
    assert_that(_sample_upstreams(router, _REQUEST, 1), Equals({'e1'}))


def test_services_stay_in_their_domain_unless_loaded(
    view: ControlView,
) -> None:
    router = router_over(view, settings=_FULL_SUBSET)
    near = {'status-0', 'status-3'}
    for _ in range(8):
        assert_that(_send(router, 1, _SERVICE_REQUEST) in near, Is(True))
    assert_that(
        _sample_upstreams(router, _SERVICE_REQUEST, 1) - near, HasLength(4)
    )


@pytest.mark.parametrize(('copies', 'least'), [(1, 1), (2, 1), (4, 2), (9, 5)])
def test_ejection_leaves_a_share(copies: int, least: int) -> None:
    view = view_of(copies, {'m': range(copies)})
    router = router_over(view, settings=_FULL_SUBSET)
    for step in range(200):
        route = router.choose_route(_REQUEST, step / 100)
        assert route is not None
        attempt = router.record_attempt_start(route, _REQUEST, step / 100)
        router.record_attempt_end(
            attempt, AttemptOutcome.server_error, step / 100
        )
    assert_that(
        len(_usable_upstreams(router, _REQUEST, 2)), GreaterThan(least - 1)
    )


def test_failing_upstream_is_ejected_and_probed_back() -> None:
    settings = RouterSettings(warm_up_s=0.1)
    router = router_over(view_of(3, {'m': range(3)}), settings=settings)
    seen: Counter[bool] = Counter()
    for step in range(2000):
        now = step / 100
        route = router.choose_route(_REQUEST, now)
        assert route is not None
        attempt = router.record_attempt_start(route, _REQUEST, now)
        is_bad = route.upstream == 'e0' and now < 8
        outcome = AttemptOutcome.completed
        if is_bad:
            outcome = AttemptOutcome.timed_out
        router.record_attempt_end(attempt, outcome, now)
        seen[is_bad] += 1
    assert_that(seen[True], LessThan(10))
    assert_that('e0' in _sample_upstreams(router, _REQUEST, 20), Is(True))


def test_slow_upstream_is_ejected() -> None:
    router = router_over(view_of(3, {'m': range(3)}))
    others = frozenset(('e1', 'e2'))
    for step in range(12):
        now = 1 + step / 10
        route = router.choose_route(
            replace(_REQUEST, excluded_upstreams=others), now
        )
        if route is None:
            break
        attempt = router.record_attempt_start(route, _REQUEST, now)
        router.record_first_token(attempt, now + 3)
        router.record_attempt_end(attempt, AttemptOutcome.completed, now + 3)
    assert_that('e0' in _usable_upstreams(router, _REQUEST, 5), Is(False))
    assert_that('e0' in _usable_upstreams(router, _REQUEST, 10), Is(True))


@given(
    entry=st.integers(0, 600),
    targets=st.dictionaries(
        st.text('abcdef', min_size=1, max_size=3),
        st.sets(st.integers(0, 29), min_size=1),
        min_size=1,
    ),
)
def test_subset_is_deterministic_and_holds_every_target(
    entry: int,
    targets: dict[str, set[int]],
) -> None:
    holders = {target: tuple(sorted(targets[target])) for target in targets}
    view = view_of(30, holders)
    router = router_over(view, name=f'v{entry}')
    chosen = router.resize_subsets(0)
    again = router_over(view, seed=7, name=f'v{entry}')
    assert_that(again.resize_subsets(0), Equals(chosen))
    for target in targets:
        names = {f'e{number}' for number in targets[target]}
        assert_that(len(names & chosen), GreaterThan(0))


def test_subset_grows_with_demand_and_shrinks_later() -> None:
    router = router_over(view_of(30, {'m': range(30)}))
    small = router.resize_subsets(0)
    attempts = []
    for _ in range(80):
        route = router.choose_route(_REQUEST, 1)
        assert route is not None
        attempts.append(router.record_attempt_start(route, _REQUEST, 1))
    grown = router.resize_subsets(1)
    assert_that(len(grown), GreaterThan(len(small)))
    assert_that(small <= grown, Is(True))
    for attempt in attempts:
        router.record_attempt_end(attempt, AttemptOutcome.completed, 2)
    assert_that(router.resize_subsets(600), Equals(small))


@given(rate=st.floats(700, 20_000), copies=st.integers(1, 30))
def test_polls_stay_within_the_budget(rate: float, copies: int) -> None:
    settings = RouterSettings(
        poll_bytes_per_second=rate,
        min_subset_endpoints=copies,
    )
    router = router_over(view_of(30, {'m': range(30)}), settings=settings)
    polled: Counter[str] = Counter()
    for step in range(200):
        polled.update(router.schedule_polls(step / 10))
    permitted = (20 + 2) * rate / settings.poll_size_bytes
    assert_that(polled.total(), LessThan(permitted + 1))
    if rate > copies * settings.poll_size_bytes:
        assert_that(set(polled), Equals(set(router.resize_subsets(20))))
