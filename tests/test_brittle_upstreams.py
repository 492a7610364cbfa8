"""Tests of upstreams that state how few refusals they withstand."""

import asyncio

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, IsInstance

from persimmonhold.fleet import (
    AttemptEnd,
    EntryReport,
    FleetMessage,
    RefuseRequest,
    SendRequest,
    SlotRequest,
    SlotReturn,
    UpstreamFacts,
)
from persimmonhold.fleet._brittleness import count_sent
from persimmonhold.fleet._slot_leases import SlotLeases, find_assignable
from persimmonhold.forwarding._slot_permits import SlotPermits
from persimmonhold.platform._dialect import PlatformDialect
from persimmonhold.platform._names import (
    BRITTLE,
    REQUEST_ID,
    SIGNATURE,
)
from persimmonhold.web import (
    Exchange,
    Headers,
    ResponseHead,
    encode_headers,
)
from tests.entry_builders import TIMEOUT_S
from tests.fleet_builders import make_dispatcher, make_facts, make_request, only
from tests.forwarding_harness import ForwardingHarness

_PROCESS = ('u1', 1)


@pytest.mark.parametrize(
    ('values', 'refusals_per_s', 'is_unusual'),
    [
        ([], None, False),
        (['0'], 0, False),
        (['2'], 2, False),
        (['0.5'], 0.5, False),
        (['1e12'], 1e12, False),
        (['-1'], 0, True),
        (['few'], 0, True),
        (['inf'], 0, True),
        (['nan'], 0, True),
        ([''], 0, True),
        (['5', '2'], 2, True),
        (['5, 2'], 2, True),
    ],
)
def test_stated_brittleness_is_decoded_with_caution(
    values: list[str], refusals_per_s: float | None, is_unusual: bool
) -> None:
    stated: Headers = tuple(
        (BRITTLE.encode(), text.encode()) for text in values
    )
    head = ResponseHead(status=200, headers=stated)
    decoded = PlatformDialect().decode_response_head(head)
    assert_that(decoded.refusals_per_s, Equals(refusals_per_s))
    expected = ('refusals_per_s',) if is_unusual else ()
    assert_that(decoded.unusual_statements, Equals(expected))


def _ask(number: int, born_ms: int = 1) -> SlotRequest:
    return SlotRequest(request_id=number, upstream='u1', born_ms=born_ms)


def _return(number: int, *, is_refused: bool = False) -> SlotReturn:
    return SlotReturn(
        request_id=number, upstream='u1', born_ms=1, is_refused=is_refused
    )


def test_slot_is_assigned_again_only_after_its_return() -> None:
    leases = SlotLeases()
    running = {'e1': 0, 'e2': 0}
    assert leases.try_take('e1', _ask(1), 2, running, 0)
    assert leases.try_take('e2', _ask(1), 2, running, 0)
    assert not leases.try_take('e1', _ask(2), 2, running, 0.1)
    leases.give_back('e2', _return(1), 0.2)
    leases.give_back('e2', _return(1), 0.2)
    assert leases.try_take('e1', _ask(3), 2, running, 0.2)
    assert not leases.try_take('e2', _ask(4), 2, running, 0.2)


def test_requests_without_an_assigned_slot_count() -> None:
    leases = SlotLeases()
    assert not leases.try_take('e1', _ask(1), 2, {'e1': 0, 'e2': 2}, 0)
    assert leases.try_take('e1', _ask(2), 2, {'e1': 0, 'e2': 1}, 0)


def test_returned_slot_is_free_before_the_next_report() -> None:
    leases = SlotLeases()
    assert leases.try_take('e1', _ask(1), 1, {'e1': 0}, 0)
    leases.reconcile('e1', {'u1': 1}, 0.1)
    leases.give_back('e1', _return(1), 0.2)
    assert leases.try_take('e1', _ask(2), 1, {'e1': 1}, 0.2)


def test_returned_slot_that_no_report_has_shown_frees_no_other() -> None:
    leases = SlotLeases()
    leases.reconcile('e1', {'u1': 1}, 0)
    assert leases.try_take('e1', _ask(1), 2, {'e1': 1}, 0.1)
    leases.give_back('e1', _return(1), 0.2)
    assert not leases.try_take('e1', _ask(2), 1, {'e1': 1}, 0.2)


def test_slot_whose_return_was_lost_is_freed_by_reports() -> None:
    leases = SlotLeases()
    assert leases.try_take('e1', _ask(1), 1, {'e1': 0}, 0)
    leases.reconcile('e1', {}, 0.5)
    assert not leases.try_take('e2', _ask(1), 1, {'e1': 0}, 0.5)
    leases.reconcile('e1', {'u1': 1}, 1.5)
    assert not leases.try_take('e2', _ask(1), 1, {'e1': 1}, 1.5)
    leases.reconcile('e1', {}, 2)
    assert leases.try_take('e2', _ask(1), 1, {'e1': 0}, 2)


def test_no_slot_is_assigned_right_after_a_refusal() -> None:
    leases = SlotLeases()
    assert leases.try_take('e1', _ask(1), 6, {}, 0)
    leases.give_back('e1', _return(1, is_refused=True), 0.1)
    assert not leases.try_take('e2', _ask(2), 6, {}, 1.1)
    assert leases.try_take('e2', _ask(2), 6, {}, 1.2)


def test_slots_of_a_lost_entry_and_of_a_replaced_process_are_freed() -> None:
    leases = SlotLeases()
    assert leases.try_take('e1', _ask(1), 1, {'e1': 0}, 0)
    assert not leases.try_take('e2', _ask(1), 1, {'e2': 0}, 10)
    assert leases.try_take('e2', _ask(1), 1, {'e2': 0}, 16)
    assert leases.try_take('e1', _ask(1, born_ms=2), 1, {'e1': 0}, 16)


def test_entries_out_of_touch_are_left_a_part_of_the_slots() -> None:
    assert_that(find_assignable(6, 7, 0), Equals(6))
    assert_that(find_assignable(6, 65, 1), Equals(6))
    assert_that(find_assignable(6, 7, 3), Equals(3))
    assert_that(find_assignable(24, 65, 16), Equals(19))


def test_entry_without_replies_uses_slots_only_after_a_while() -> None:
    now = [0.0]
    sent: list[FleetMessage] = []
    slots = SlotPermits(lambda: now[0], sent.append, {})

    async def scenario() -> None:
        assert_that(await slots.ask(1, _PROCESS), GreaterThan(0))
        # A reply that comes late may have assigned the slot.
        assert_that(sent[-1], IsInstance(SlotReturn))
        now[0] = 1.0
        assert_that(await slots.ask(2, _PROCESS), GreaterThan(0))
        now[0] = 1.6
        assert_that(await slots.ask(3, _PROCESS), Is(None))

    asyncio.run(scenario())


def test_brittle_upstream_gets_one_slot_request_of_an_entry_at_a_time() -> None:
    facts = msgspec.structs.replace(make_facts('u1'), refusals_per_s=1)
    dispatcher = make_dispatcher(facts)
    first = only(dispatcher.submit_request(make_request(1), 1.0))
    assert_that(first, IsInstance(SendRequest))
    assert_that(dispatcher.slots.find_process(1), Equals(_PROCESS))
    assert_that(dispatcher.submit_request(make_request(2), 1.0), Equals(()))
    dispatcher.slots.record_slot(1, 0, 1, 1.0)
    second = only(dispatcher.dispatch_waiting(1.01))
    assert_that(second, IsInstance(SendRequest))


def test_brittle_upstream_gets_nothing_for_a_second_after_a_refusal() -> None:
    facts = msgspec.structs.replace(make_facts('u1'), refusals_per_s=1)
    dispatcher = make_dispatcher(facts)
    dispatcher.submit_request(make_request(1), 1.0)
    dispatcher.slots.record_slot(1, 0, 1, 1.0)
    refused = only(dispatcher.retry_request(1, AttemptEnd.full, 1.1))
    assert isinstance(refused, RefuseRequest)
    # The time to retry after is that of the pause.
    assert_that(refused.retry_after_s or 0, GreaterThan(1))
    submitted = dispatcher.submit_request(make_request(2, 1.2), 1.2)
    assert_that(submitted, Equals(()))
    assert_that(dispatcher.dispatch_waiting(2.1), Equals(()))
    assert_that(only(dispatcher.dispatch_waiting(2.2)), IsInstance(SendRequest))


def test_upstream_without_the_statement_needs_no_slot() -> None:
    dispatcher = make_dispatcher(make_facts('u1'))
    dispatcher.submit_request(make_request(1), 1.0)
    assert_that(dispatcher.slots.find_process(1), Is(None))
    tracker = dispatcher.chooser.trackers['u1']
    assert_that(count_sent(tracker), Equals(1))


@pytest.mark.parametrize(
    'message',
    [make_facts('u1'), EntryReport(term=1, number=1, sequence=1)],
)
def test_messages_of_an_older_build_are_read(
    message: UpstreamFacts | EntryReport,
) -> None:
    encoded = msgspec.to_builtins(message)
    decoded = msgspec.convert(encoded[:-1], type(message))
    assert_that(decoded, Equals(message))


def test_stated_brittleness_is_kept_by_process_until_it_is_taken_back() -> None:
    stated = ['1']

    async def answer(exchange: Exchange) -> None:
        own = {REQUEST_ID: exchange.head.header(REQUEST_ID), SIGNATURE: 's1'}
        if stated:
            own[BRITTLE] = stated[0]
        await exchange.read_body()
        await exchange.respond(200, b'done', 'text/plain', encode_headers(own))

    async def scenario() -> None:
        async with ForwardingHarness() as harness:
            await harness.start_upstream(answer)
            await harness.send_request()
            trackers = harness.services.hub.dispatcher.chooser.trackers
            tracker = next(iter(trackers.values()))
            assert_that(tracker.fullness.brittleness.per_s, Equals(1))
            stated.clear()
            tracker.fullness.brittleness.cancel_request(0)
            await harness.send_request()
            assert_that(tracker.fullness.brittleness.per_s, Is(None))

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))
