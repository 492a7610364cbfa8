"""The credit of workspaces: the book of the controller, the entry's account."""

import itertools
import random
from typing import Final

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is, LessThan, Not

from persimmonhold.fleet import CreditReply, CreditRequest
from persimmonhold.quota import (
    CreditNeed,
    EntryPresence,
    QuotaAccount,
    QuotaBook,
)
from persimmonhold.routes import WorkspaceLimit

_LIMIT: Final = WorkspaceLimit(per_s=4200, burst=4200, counts_tokens=True)
_COUNTED: Final = WorkspaceLimit(per_s=3, burst=3)
_NUMBERS: Final = itertools.count(10_000)
# What a bucket grants beyond the burst: 0.05 of the limit in 8 s, 2,400 tokens.
_TOLERATED: Final = 0.05 * 9 * 4200 + 2400


@pytest.fixture
def book() -> QuotaBook:
    """Return a book whose workspace w has a full bucket at time 100."""
    made = QuotaBook(1)
    made.apply_limits({'w': _LIMIT}, 0)
    made.answer_request('other', _ask(1, 0.0), 100)
    return made


@pytest.fixture
def account() -> QuotaAccount:
    return QuotaAccount(random.Random(1), 1)


def _ask(
    request_id: int,
    tokens: float,
    returned: tuple[tuple[int, float], ...] = (),
) -> CreditRequest:
    return CreditRequest(
        request_id=request_id, workspace='w', tokens=tokens, returned=returned
    )


def _take_all(book: QuotaBook, now: float, size: float = 100) -> float:
    """Take credit until some is refused; return how much was granted."""
    granted = 0.0
    while True:
        request = _ask(next(_NUMBERS), size)
        if book.answer_request('taker', request, now).wait_s:
            return granted
        granted += size


def _grant(request: CreditRequest, grant_id: int, tokens: float) -> CreditReply:
    return CreditReply(
        request_id=request.request_id,
        grant_id=grant_id,
        tokens=tokens,
        term_s=2,
        wait_s=0,
        admit_share=1,
    )


def test_new_book_grants_half_of_the_burst() -> None:
    """A new controller does not know what the last one has just granted."""
    book = QuotaBook(1)
    book.apply_limits({'w': _LIMIT}, 100)
    assert_that(_take_all(book, 100), Equals(2100))


def test_refusal_tells_when_the_credit_is_there(book: QuotaBook) -> None:
    _take_all(book, 100, 10)
    refused = book.answer_request('e1', _ask(5, 1114), 100)
    assert_that(refused.tokens, Equals(0))
    early = book.answer_request('e1', _ask(6, 1114), 99.99 + refused.wait_s)
    assert_that(early.tokens, Equals(0))
    due = book.answer_request('e1', _ask(7, 1114), 100.01 + refused.wait_s)
    assert_that(due.tokens, Equals(1114))


def test_repeated_request_is_granted_once(book: QuotaBook) -> None:
    """A lost reply must not cost the workspace a second grant."""
    first = book.answer_request('e1', _ask(5, 1114), 100)
    again = book.answer_request('e1', _ask(5, 1114), 100.5)
    assert_that(again.grant_id, Equals(first.grant_id))
    assert_that(again.term_s, Equals(1.5))
    other = book.answer_request('e2', _ask(5, 1114), 100.5)
    assert_that(other.grant_id, Not(Equals(first.grant_id)))


def test_repeated_return_counts_once(book: QuotaBook) -> None:
    """A retransmitted return must not create credit."""
    granted = book.answer_request('e1', _ask(5, 1000), 100)
    _take_all(book, 100)
    returned = ((granted.grant_id, 600.0),)
    book.answer_request('e1', _ask(6, 0, returned), 100)
    book.answer_request('e1', _ask(6, 0, returned), 100)
    book.answer_request('e1', _ask(7, 0, returned), 100)
    assert_that(_take_all(book, 100), Equals(600))
    # The rest of the grant may follow; more than the grant does not count.
    book.answer_request('e1', _ask(8, 0, ((granted.grant_id, 9000.0),)), 100)
    assert_that(_take_all(book, 100), Equals(400))


def test_return_of_an_unknown_grant_does_not_count(book: QuotaBook) -> None:
    """Grants of another entry or of another controller are not known."""
    granted = book.answer_request('e1', _ask(5, 1000), 100)
    _take_all(book, 100)
    book.answer_request('e2', _ask(6, 0, ((granted.grant_id, 900.0),)), 100)
    book.answer_request('e1', _ask(7, 0, ((1 << 40, 900.0),)), 100)
    assert_that(_take_all(book, 100), Equals(0))


def test_request_larger_than_the_burst_leaves_a_debt(book: QuotaBook) -> None:
    large = book.answer_request('e1', _ask(5, 20_000), 100)
    assert_that(large.tokens, Equals(20_000))
    refused = book.answer_request('e1', _ask(6, 1000), 100)
    owed_s = (20_000 - 4200 + 1000 - _TOLERATED) / 4200
    assert_that(round(refused.wait_s - owed_s, 6), Equals(0))


def test_request_larger_than_the_burst_waits_for_a_full_bucket(
    book: QuotaBook,
) -> None:
    _take_all(book, 100)
    refused = book.answer_request('e1', _ask(5, 20_000), 100)
    assert_that(refused.tokens, Equals(0))
    full_at = 100.01 + refused.wait_s
    granted = book.answer_request('e1', _ask(6, 20_000), full_at)
    assert_that(granted.tokens, Equals(20_000))


def test_lowered_limit_reduces_the_content_at_once(book: QuotaBook) -> None:
    lowered = WorkspaceLimit(per_s=100, burst=100, counts_tokens=True)
    book.apply_limits({'w': lowered}, 100)
    granted = _take_all(book, 100)
    assert_that(granted, LessThan(100 + 0.05 * 9 * 100 + 2400 + 1))


def test_raised_limit_applies_at_once(book: QuotaBook) -> None:
    _take_all(book, 100)
    raised = WorkspaceLimit(per_s=42_000, burst=42_000, counts_tokens=True)
    book.apply_limits({'w': raised}, 100)
    assert_that(_take_all(book, 100, 1000), GreaterThan(37_000))


def test_workspace_without_limit_is_granted_everything(
    book: QuotaBook,
) -> None:
    """An entry may ask before it learns that the limit was removed."""
    book.apply_limits({}, 100)
    granted = book.answer_request('e1', _ask(5, 1_000_000), 100)
    assert_that(granted.tokens, Equals(1_000_000))


def test_limit_of_requests_counts_requests() -> None:
    book = QuotaBook(1)
    book.apply_limits({'w': _COUNTED}, 0)
    assert_that(_take_all(book, 100, 1), Equals(4))


def test_prefetch_leaves_half_of_the_burst_to_others(book: QuotaBook) -> None:
    request = CreditRequest(
        request_id=5, workspace='w', tokens=1000, prefetch=50_000
    )
    granted = book.answer_request('e1', request, 100)
    assert_that(granted.tokens, Equals(2100))


def test_reply_tells_which_workspaces_get_less_than_they_request(
    book: QuotaBook,
) -> None:
    """An entry may have to decide on one that it has not asked for lately."""
    _take_all(book, 100)
    book.apply_limits({'w': _LIMIT, 'v': _LIMIT}, 100)
    other = CreditRequest(request_id=9, workspace='v', tokens=100)
    reply = book.answer_request('e1', other, 100.2)
    assert_that(reply.admit_share, Equals(1))
    assert_that([name for name, _ in reply.short_shares], Equals(['w']))


@given(
    steps=st.lists(
        st.tuples(
            st.floats(0, 3),
            st.sampled_from((200, 1114, 2392, 9000)),
            st.booleans(),
            st.floats(0, 1),
        ),
        max_size=200,
    )
)
def test_grants_never_exceed_the_limit(
    steps: list[tuple[float, int, bool, float]],
) -> None:
    """The bound of the book holds for any order of requests and returns."""
    book = QuotaBook(1)
    book.apply_limits({'w': _LIMIT}, 0)
    now = 0.0
    used: list[tuple[float, float]] = []
    for number, (elapsed_s, size, returns, part) in enumerate(steps):
        now += elapsed_s
        reply = book.answer_request('e1', _ask(number, size), now)
        spent = reply.tokens
        if returns and reply.tokens:
            back = reply.tokens * part
            spent -= back
            returned = ((reply.grant_id, back),)
            book.answer_request('e1', _ask(-1 - number, 0, returned), now)
        used.append((now, spent))
        in_window = sum(tokens for at, tokens in used if at > now - 8)
        bound = 4200 * 9 + _TOLERATED + (9000 - 4200)
        assert_that(in_window, LessThan(bound + 0.01))


def test_grant_serves_the_request_that_asked(account: QuotaAccount) -> None:
    request = account.build_request('w', 1114, 10)
    spending = account.apply_reply(_grant(request, 7, 1114), 10.002)
    assert spending is not None
    assert_that(spending.cost, Equals(1114))
    assert_that(account.try_spend('w', 1, 10.01), Is(None))


def test_returned_credit_serves_the_next_request(account: QuotaAccount) -> None:
    request = account.build_request('w', 1114, 10)
    spending = account.apply_reply(_grant(request, 7, 1114), 10.002)
    assert spending is not None
    account.return_credit(spending, 10.5)
    assert_that(account.try_spend('w', 1114, 11.9), Not(Is(None)))


def test_expired_credit_is_returned_to_the_book_and_not_used(
    account: QuotaAccount,
) -> None:
    """An entry that goes on after a pause holds a grant that has expired."""
    request = account.build_request('w', 1114, 10)
    spending = account.apply_reply(_grant(request, 7, 1114), 10.002)
    assert spending is not None
    account.return_credit(spending, 10.5)
    assert_that(account.try_spend('w', 1114, 12.001), Is(None))
    later = account.build_request('v', 100, 12.1)
    assert_that(later.returned, Equals(((7, 1114.0),)))


def test_reply_that_was_held_up_by_a_pause_is_not_used(
    account: QuotaAccount,
) -> None:
    """The term of a grant begins when the request was sent."""
    request = account.build_request('w', 1114, 10)
    assert_that(account.apply_reply(_grant(request, 7, 1114), 12.5), Is(None))
    assert_that(account.try_spend('w', 1, 12.5), Is(None))
    later = account.build_request('w', 100, 12.6)
    assert_that(later.returned, Equals(((7, 1114.0),)))


def test_credit_of_a_request_that_ended_late_returns_to_the_book(
    account: QuotaAccount,
) -> None:
    request = account.build_request('w', 1114, 10)
    spending = account.apply_reply(_grant(request, 7, 1114), 10.002)
    assert spending is not None
    account.return_credit(spending, 15)
    later = account.build_request('w', 100, 15.1)
    assert_that(later.returned, Equals(((7, 1114.0),)))


def test_return_is_repeated_until_a_reply_confirms_it(
    account: QuotaAccount,
) -> None:
    """The message that carried it may have been lost."""
    request = account.build_request('w', 1114, 10)
    spending = account.apply_reply(_grant(request, 7, 1114), 10.002)
    assert spending is not None
    account.return_credit(spending, 15)
    account.build_request('w', 100, 15.1)
    second = account.build_request('w', 100, 15.2)
    assert_that(second.returned, HasLength(1))
    account.apply_reply(_grant(second, 8, 100), 15.21)
    assert_that(account.build_request('w', 1, 15.3).returned, Equals(()))


def test_no_credit_is_prefetched_for_few_requests(
    account: QuotaAccount,
) -> None:
    """Credit that an entry holds in vain is missing at the others."""
    for number in range(4):
        at = 10 + 0.3 * number
        request = account.build_request('w', 1114, at)
        assert_that(request.prefetch, Equals(0))
        account.apply_reply(_grant(request, number, 1114), at + 0.002)


def test_prefetch_is_what_was_spent_within_a_tenth_of_a_second(
    account: QuotaAccount,
) -> None:
    for number in range(3):
        request = account.build_request('w', 500, 10)
        account.apply_reply(_grant(request, number, 500), 10.002)
    ahead = account.build_request('w', 500, 10.01)
    assert_that(ahead.prefetch, Equals(1500))
    # Two messages under way do not prefetch the same.
    assert_that(account.build_request('w', 500, 10.01).prefetch, Equals(0))
    account.apply_reply(_grant(ahead, 9, 2000), 10.012)
    assert_that(account.try_spend('w', 1500, 10.02), Not(Is(None)))


def _spend_alone(
    account: QuotaAccount, cost: float, now: float, entries: int = 65
) -> bool:
    need = CreditNeed(
        workspace='w', limit=_LIMIT, cost=cost, entry_count=entries
    )
    return not isinstance(account.decide_alone(need, now), float)


def test_entry_alone_admits_one_request_beyond_its_equal_share(
    account: QuotaAccount,
) -> None:
    """A workspace with little traffic is served without the controller."""
    assert_that(_spend_alone(account, 1114, 10), Equals(True))
    assert_that(_spend_alone(account, 1114, 10.1), Equals(False))
    paid_s = 1114 / (4200 / 65)
    assert_that(_spend_alone(account, 1114, 9.9 + paid_s), Equals(False))
    assert_that(_spend_alone(account, 1114, 10.1 + paid_s), Equals(True))


def test_entry_alone_refuses_most_requests_of_an_overloaded_workspace(
    account: QuotaAccount,
) -> None:
    """The share that the controller granted last still counts."""
    request = account.build_request('v', 100, 10)
    reply = _grant(request, 7, 100)
    short = CreditReply(
        request_id=reply.request_id,
        grant_id=7,
        tokens=100,
        term_s=2,
        wait_s=0,
        admit_share=1,
        short_shares=(('w', 0.25),),
    )
    account.apply_reply(short, 10.002)
    admitted = sum(
        _spend_alone(account, 1, 10.1 + number / 1000, entries=1)
        for number in range(400)
    )
    assert_that(abs(admitted - 100), LessThan(30))
    later = sum(
        _spend_alone(account, 1, 41 + number / 1000, entries=1)
        for number in range(400)
    )
    assert_that(later, Equals(400))


def test_late_credit_counts_as_spent_by_a_request_admitted_alone(
    account: QuotaAccount,
) -> None:
    """Otherwise the workspace gets the credit of one request twice."""
    request = account.build_request('w', 1114, 10)
    account.record_unanswered(request.request_id, 10.15)
    need = CreditNeed(workspace='w', limit=_LIMIT, cost=1114)
    account.decide_alone(need, 10.15, request.request_id)
    assert_that(account.apply_reply(_grant(request, 7, 1114), 10.3), Is(None))
    assert_that(account.try_spend('w', 1, 10.3), Is(None))
    assert_that(account.build_request('w', 1, 13).returned, Equals(()))


def test_entry_alone_asks_for_a_reply_once_in_each_interval(
    account: QuotaAccount,
) -> None:
    """A grant that does not arrive would be missing at the other entries."""
    request = account.build_request('w', 1114, 10)
    assert_that(
        account.record_unanswered(request.request_id, 10.15), Equals(True)
    )
    built = [account.build_probe('w', 10.15 + at / 100) for at in range(100)]
    probes = [one for one in built if one is not None]
    assert_that(probes, HasLength(3))
    for probe in probes:
        assert_that(probe.tokens + probe.prefetch, Equals(0))
        assert_that(probe.is_alone, Equals(True))
    account.apply_reply(_grant(request, 7, 1114), 11.2)
    assert_that(account.alone_since, Is(None))


def test_probe_costs_no_credit(book: QuotaBook) -> None:
    probe = CreditRequest(request_id=5, workspace='w', tokens=0, is_alone=True)
    reply = book.answer_request('e1', probe, 100)
    assert_that((reply.grant_id, reply.wait_s), Equals((0, 0)))
    assert_that(_take_all(book, 100), Equals(4200 + 4200))


def test_time_in_which_the_controller_was_paused_refills_nothing(
    book: QuotaBook,
) -> None:
    """Entries have admitted requests of an overloaded workspace meanwhile."""
    for step in range(40):
        book.answer_request('e1', _ask(next(_NUMBERS), 2000), 100 + step / 20)
    _take_all(book, 102)
    book.skip_pause(0.8, 103)
    assert_that(_take_all(book, 103), LessThan(0.2 * 4200 + 101))


def test_pause_costs_a_workspace_with_usual_demand_nothing(
    book: QuotaBook,
) -> None:
    book.answer_request('e1', _ask(next(_NUMBERS), 4000), 100)
    book.skip_pause(0.8, 101)
    assert_that(_take_all(book, 101), GreaterThan(4200))


def test_time_without_any_message_is_a_pause() -> None:
    """Few credit requests must not look like one, so reports count, too."""
    presence = EntryPresence()
    assert_that(presence.measure_pause(100), Equals(0))
    assert_that(presence.measure_pause(100.5), Equals(0))
    assert_that(round(presence.measure_pause(102.5), 6), Equals(1.85))


def test_share_of_entries_that_are_not_heard_is_left_to_them() -> None:
    presence = EntryPresence()
    names = ('e1', 'e2', 'e3', 'e4')
    assert_that(presence.compute_share(names, 100), Equals(1))
    for name in names[:3]:
        presence.record_heard(name, 102)
    assert_that(presence.compute_share(names, 102), Equals(0.75))


def test_share_of_entries_without_replies_is_left_to_them() -> None:
    """They are heard, so their reports do not tell that they are cut off."""
    presence = EntryPresence()
    names = ('e1', 'e2', 'e3', 'e4')
    presence.forget(names, 100)
    presence.record_asked('e1', 100.5, is_alone=True)
    presence.record_heard('e1', 100.9)
    assert_that(presence.compute_share(names, 100.9), Equals(0.75))
    presence.record_asked('e1', 101, is_alone=False)
    assert_that(presence.compute_share(names, 101), Equals(1))


def test_entry_that_is_silent_for_long_has_ended() -> None:
    """Its share must not be missing at the others for ever."""
    presence = EntryPresence()
    presence.forget(('e1', 'e2'), 100)
    presence.record_heard('e1', 131)
    assert_that(presence.compute_share(('e1', 'e2'), 131), Equals(1))
