"""Tests of how prompt caches decide which upstream is preferred."""

import itertools

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    Not,
)

from persimmonhold.fleet import (
    AttemptEnd,
    DispatchRequest,
    ForwardDispatcher,
    HeldModel,
    RequestProfile,
    SendRequest,
    SharedLoad,
)
from persimmonhold.fleet._prompt_keys import PromptKeys, stable_hash
from persimmonhold.fleet._prompt_memory import MAX_RECORDS, PromptMemory
from persimmonhold.fleet._rendezvous import rendezvous_rank
from persimmonhold.platform._dialect import PlatformDialect
from persimmonhold.web import RequestHead, encode_headers
from tests.fleet_builders import make_facts, make_update, only
from tests.prompt_builders import make_entry, make_prompt, send, serve

_ALWAYS = float('-inf')
_SYSTEM = ('5e', 600)
_OTHER_SYSTEM = ('7a', 600)


def _keys(*parts: tuple[str, int], adapter: str = '') -> PromptKeys:
    request = make_prompt(1, *parts, adapter=adapter)
    keys = PromptKeys.from_profile(request.profile)
    assert keys is not None
    return keys


def _cached_tokens(
    memory: PromptMemory,
    keys: PromptKeys,
    now: float,
    since: float = _ALWAYS,
) -> dict[str, int]:
    found = memory.find_cached(keys, lambda name: since, now)
    return {name: round(one.tokens) for name, one in found.items()}


def _entry_of(count: int, seed: int = 1, slots: int = 8) -> ForwardDispatcher:
    facts = (make_facts(f'u{one}', slots=slots) for one in range(count))
    return make_entry(*facts, seed=seed)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('5e:600,AB:226', {'5e': 600, 'ab': 226}),
        (' 5e : 600 , ab', {'5e': 600, 'ab': 0}),
        (
            '5e:-1,ab:x,cd:1e9,ef:9999999999',
            dict.fromkeys(('5e', 'ab', 'cd', 'ef'), 0),
        ),
        (':5,5e:600', {'5e': 600}),
        ('', {}),
    ],
)
def test_tokens_of_parts_are_decoded_and_bounded(
    text: str, expected: dict[str, int]
) -> None:
    """Malformed counts were tolerated before, and must not refuse requests."""
    head = RequestHead(
        method='POST',
        target='/chat/1',
        headers=encode_headers({'attempt-id': 'r1', 'prefix-hash': text}),
        peer='127.0.0.1:1',
    )
    profile = PlatformDialect().decode_profile(head).unwrap()
    decoded = zip(profile.prompt_parts, profile.part_tokens, strict=True)
    assert_that(dict(decoded), Equals(expected))


def test_parts_count_only_behind_the_same_parts() -> None:
    """A part behind other parts is another text for the engine."""
    memory = PromptMemory()
    memory.record_read(_keys(('a', 100), ('b', 200), ('c', 300)), 'u1', 0)
    for parts, expected in (
        ((('a', 100), ('b', 200), ('c', 300)), {'u1': 600}),
        ((('a', 100), ('b', 200), ('d', 300)), {'u1': 300}),
        ((('b', 200), ('c', 300)), {}),
        ((('a', 100), ('d', 1), ('c', 300)), {'u1': 100}),
    ):
        found = _cached_tokens(memory, _keys(*parts), 0)
        assert_that(found, Equals(expected))
    other_adapter = _keys(('a', 100), ('b', 200), adapter='x')
    assert_that(_cached_tokens(memory, other_adapter, 0), Equals({}))


def test_memory_of_a_part_decays_and_ends_at_a_restart() -> None:
    memory = PromptMemory()
    keys = _keys(('a', 100), ('b', 200))
    memory.record_read(keys, 'u1', 10)
    assert_that(_cached_tokens(memory, keys, 30), Equals({'u1': 150}))
    assert_that(_cached_tokens(memory, keys, 200), Equals({}))
    assert_that(_cached_tokens(memory, keys, 11, since=10), Equals({}))


@given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 60))))
def test_memory_is_bounded_and_counts_its_records(
    reads: list[tuple[int, int]],
) -> None:
    memory = PromptMemory(max_records=50)
    for now, (prompt, upstream) in enumerate(reads):
        keys = _keys((f's{prompt % 7}', 1), (f'p{prompt}', 1))
        memory.record_read(keys, f'u{upstream}', now)
        kept = sum(len(one) for one in memory.used_at.values())
        assert_that(kept, Equals(memory.record_count))
        assert_that(kept, LessThan(51))


def test_entry_remembers_at_most_the_stated_number_of_parts() -> None:
    entry = _entry_of(3)
    for number in range(3000):
        prompt = make_prompt(number, _SYSTEM, (f'{number:x}', 5))
        serve(entry, prompt, number / 100)
    memory = entry.chooser.preference.memory
    assert_that(memory.record_count, LessThan(MAX_RECORDS + 1))
    assert_that(entry.chooser.preference.popularity.counts, HasLength(1))


def test_hash_that_entries_agree_on_does_not_change() -> None:
    """Entries of two builds would else prefer different upstreams."""
    assert_that(stable_hash('m1', '', '5e'), Equals(17241168597787744805))
    rank = rendezvous_rank(stable_hash('k'), stable_hash('u1'))
    assert_that(rank, Equals(6217164096121494432))


def test_all_entries_prefer_the_same_upstream_for_shared_parts() -> None:
    """Also entries that start with other seeds and have sent nothing."""
    for system in range(12):
        chosen = {
            send(
                _entry_of(45, seed),
                make_prompt(1, (f'5{system}', 200), (f'{seed:x}', 600)),
                0,
            ).upstream.name
            for seed in range(62)
        }
        assert_that(chosen, HasLength(1))


def test_different_prompts_are_spread_over_the_upstreams() -> None:
    """A weak hash would give most prompts to a few upstreams."""
    entry = _entry_of(10)
    counts = dict.fromkeys((f'u{one}' for one in range(10)), 0)
    for number in range(1000):
        prompt = make_prompt(number, (f'{number:x}', 200), ('1', 600))
        counts[serve(entry, prompt, number)] += 1
    assert_that(min(counts.values()), GreaterThan(60))
    assert_that(max(counts.values()), LessThan(150))


def test_preference_stays_as_upstreams_join_and_leave() -> None:
    """Hashing modulo the number of upstreams would move most prompts."""
    moved = 0
    for system in range(40):
        prompt = make_prompt(1, (f'5{system}', 400), ('1', 400))
        before = send(_entry_of(20), prompt, 0).upstream.name
        joined = send(_entry_of(21), prompt, 0).upstream.name
        assert_that({before, 'u20'}, Contains(joined))
        moved += joined != before
        names = [f'u{one}' for one in range(20) if f'u{one}' != before]
        others = (make_facts(name) for name in names[1:])
        stays = make_entry(make_facts(before, slots=8), *others)
        assert_that(send(stays, prompt, 0).upstream.name, Equals(before))
    assert_that(moved, LessThan(8))


def test_session_moves_off_a_full_upstream_and_stays_on_the_new_one() -> None:
    """A session that goes back and forth is prefilled again each time."""
    entry = _entry_of(4, slots=1)
    turns = itertools.count(1)

    def take_turn(now: float) -> str:
        return serve(entry, make_prompt(next(turns), _SYSTEM, ('51', 900)), now)

    first = take_turn(0)
    assert_that({take_turn(one) for one in range(1, 4)}, Equals({first}))
    blocker = make_prompt(100, _SYSTEM, ('52', 10))
    assert_that(send(entry, blocker, 5).upstream.name, Equals(first))
    second = take_turn(5.1)
    assert_that(second, Not(Equals(first)))
    entry.finish_request(100, AttemptEnd.answered, 5.2)
    assert_that({take_turn(one) for one in range(6, 12)}, Equals({second}))


@pytest.mark.parametrize('event', ['restart', 'unload', 'relisted'])
def test_nothing_is_expected_cached_after(event: str) -> None:
    """Stale knowledge would draw requests to an upstream with an empty cache."""
    facts = make_facts('u1')
    entry = make_entry(facts)
    serve(entry, make_prompt(1, _SYSTEM, ('51', 900)), 1)
    again = send(entry, make_prompt(2, _SYSTEM, ('51', 900)), 2)
    assert_that(again.cached_tokens, GreaterThan(1400))
    entry.finish_request(2, AttemptEnd.cancelled, 2)
    changed = {
        'restart': msgspec.structs.replace(facts, born_ms=2),
        'unload': msgspec.structs.replace(facts, models=()),
        'relisted': make_facts('u2'),
    }[event]
    back = changed if event == 'restart' else facts
    entry.apply_update(make_update(changed, sequence=2), 3)
    entry.apply_update(make_update(back, sequence=3), 4)
    last = send(entry, make_prompt(3, _SYSTEM, ('51', 900)), 5)
    # Only the shared part, which all entries send there, is assumed cached.
    assert_that(last.cached_tokens, Equals(420))


def test_refusal_for_lack_of_the_model_drops_what_it_has_cached() -> None:
    entry = make_entry(make_facts('u1'))
    serve(entry, make_prompt(1, _SYSTEM, ('51', 900)), 1)
    send(entry, make_prompt(2, _SYSTEM, ('51', 900)), 2)
    entry.retry_request(2, AttemptEnd.absent, 2.1)
    entry.finish_request(2, AttemptEnd.cancelled, 2.2)
    last = send(entry, make_prompt(3, _SYSTEM, ('51', 900)), 5)
    assert_that(last.cached_tokens, Equals(420))


def test_eviction_of_a_prompt_drops_those_that_were_used_before_it() -> None:
    """The least recently used parts are evicted first."""
    entry = make_entry(make_facts('u1'))
    serve(entry, make_prompt(1, _OTHER_SYSTEM, ('51', 900)), 1)
    serve(entry, make_prompt(2, _SYSTEM, ('52', 900)), 2)
    serve(entry, make_prompt(3, ('9c', 700), ('53', 900)), 3)
    # Far later than if the prompt had been cached.
    serve(entry, make_prompt(4, _SYSTEM, ('52', 900)), 4, first_event_s=0.2)
    expected = (
        (make_prompt(5, _OTHER_SYSTEM, ('51', 900)), 420),
        (make_prompt(6, _SYSTEM, ('52', 900)), 1450),
        (make_prompt(7, ('9c', 700), ('53', 900)), 1494),
    )
    for prompt, tokens in expected:
        sent = send(entry, prompt, 5)
        entry.finish_request(prompt.number, AttemptEnd.cancelled, 5)
        assert_that(abs(sent.cached_tokens - tokens), LessThan(15))


def _submit(
    entry: ForwardDispatcher,
    request: DispatchRequest,
    now: float,
    *,
    is_served: bool,
) -> list[str]:
    """Submit a request; return its actions. It ends now unless it is held."""
    actions = entry.submit_request(request, now)
    own = [one for one in actions if one.number == request.number]
    is_sent = any(isinstance(one, SendRequest) for one in own)
    if is_sent and is_served:
        entry.record_first_byte(request.number, now + 0.1)
    if is_served or not own:
        entry.finish_request(request.number, AttemptEnd.answered, now + 0.1)
    return [type(one).__name__ for one in own]


@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.integers(0, 9),
            st.sampled_from(['serve', 'hold', 'load', 'leave']),
        ),
        min_size=1,
        max_size=25,
    ),
)
def test_learning_never_changes_whether_a_request_is_accepted(
    steps: list[tuple[int, int, str]],
) -> None:
    """Two entries with the same loads at their upstreams accept the same.

    Each upstream is alone with its model, so both must choose it or none.
    """
    facts = tuple(
        make_facts(f'u{one}', models=(f'm{one}',), slots=2) for one in range(4)
    )
    entries = [make_entry(*facts, is_learning=one) for one in (True, False)]
    for number, (upstream, prompt, event) in enumerate(steps, start=2):
        now = number * 0.13
        model = f'm{upstream}'
        if event in {'load', 'leave'}:
            changed = msgspec.structs.replace(
                facts[upstream], is_leaving=event == 'leave'
            )
            load = SharedLoad(f'u{upstream}', prompt % 3, prompt * 900)
            update = msgspec.structs.replace(
                make_update(changed, sequence=number, others=(load,)), base=1
            )
            for updated in entries:
                updated.apply_update(update, now)
            continue
        request = make_prompt(
            number, (f'{prompt}', 900), ('1', 50), now=now, model=model
        )
        outcomes = [
            _submit(entry, request, now, is_served=event == 'serve')
            for entry in entries
        ]
        assert_that(outcomes[0], Equals(outcomes[1]))


def test_upstream_that_lacks_the_adapter_attracts_nothing() -> None:
    """Each load of an adapter takes longer than any prefill that it saves."""
    for system in range(12):
        lacking = [make_facts(f'u{one}') for one in range(9)]
        holding = [
            msgspec.structs.replace(
                make_facts(f'h{one}'),
                models=(HeldModel('m1', 1, ('x',)),),
            )
            for one in range(2)
        ]
        names = {
            send(
                make_entry(*lacking, *holding, seed=seed),
                make_prompt(1, (f'{system}', 500), ('1', 9), adapter='x'),
                0,
            ).upstream.name
            for seed in range(8)
        }
        assert_that(names, HasLength(1))
        assert_that(next(iter(names))[0], Equals('h'))


def test_prompt_without_parts_is_spread_at_random() -> None:
    entry = _entry_of(6)
    chosen = set()
    for number in range(60):
        request = make_prompt(number, now=number)
        profile = RequestProfile(
            request_id=f'r{number}', model='m1', prompt_tokens=600
        )
        plain = msgspec.structs.replace(request, profile=profile)
        action = only(entry.submit_request(plain, number))
        assert isinstance(action, SendRequest)
        chosen.add(action.upstream.name)
        entry.finish_request(number, AttemptEnd.answered, number)
    assert_that(len(chosen), GreaterThan(4))
