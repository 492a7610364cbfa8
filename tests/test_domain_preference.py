"""Tests of the preference of the own failure domain."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from persimmonhold.fleet import (
    AttemptEnd,
    ForwardDispatcher,
    SharedLoad,
    UpstreamFacts,
)
from tests.fleet_builders import make_facts, make_request, make_update
from tests.prompt_builders import make_entry, make_prompt, send, serve


def _facts(name: str, domain: str) -> UpstreamFacts:
    facts = make_facts(name, slots=16)
    return msgspec.structs.replace(facts, failure_domain=domain)


def _entry(
    seed: int, unread_tokens: int = 0, is_learning: bool = True
) -> ForwardDispatcher:
    entry = make_entry(
        *(_facts(f'near{one}', 'd1') for one in range(2)),
        *(_facts(f'far{one}', 'd2') for one in range(8)),
        seed=seed,
        is_learning=is_learning,
    )
    loads = tuple(
        SharedLoad(f'near{one}', 1, unread_tokens) for one in range(2)
    )
    entry.apply_update(
        msgspec.structs.replace(make_update(sequence=2, others=loads), base=1),
        0,
    )
    return entry


@pytest.mark.parametrize('is_learning', [True, False])
@pytest.mark.parametrize(
    ('unread_tokens', 'expected'),
    # 5 % of the target of 400 ms are 720 tokens at the assumed speed.
    [(0, {'near'}), (400, {'near'}), (1600, {'far'})],
)
def test_own_domain_is_chosen_if_nearly_equal(
    unread_tokens: int, expected: set[str], is_learning: bool
) -> None:
    """The random part of scores sent most requests to another domain."""
    chosen = {
        send(
            _entry(seed, unread_tokens, is_learning), make_request(1), 0
        ).upstream.name[:-1]
        for seed in range(40)
    }
    assert_that(chosen, Equals(expected))


@pytest.mark.parametrize(('tokens', 'expected'), [(500, 'near'), (2400, 'far')])
def test_cached_prompt_is_worth_another_domain_only_if_it_saves_enough(
    tokens: int, expected: str
) -> None:
    """At 36,000 tokens/s, 5 % of the target are 720 tokens."""
    entry = make_entry(_facts('far0', 'd2'))
    serve(entry, make_prompt(1, ('5e', 1), ('51', tokens)), 0.5)
    entry.apply_update(
        make_update(_facts('far0', 'd2'), _facts('near0', 'd1'), sequence=2), 1
    )
    sent = send(entry, make_prompt(2, ('5e', 1), ('51', tokens)), 1.1)
    assert_that(sent.upstream.name, Equals(f'{expected}0'))


def test_another_domain_is_used_if_the_own_one_is_full() -> None:
    entry = make_entry(
        msgspec.structs.replace(_facts('near0', 'd1'), slots=1),
        _facts('far0', 'd2'),
    )
    assert_that(send(entry, make_request(1), 0).upstream.name, Equals('near0'))
    assert_that(send(entry, make_request(2), 0).upstream.name, Equals('far0'))
    entry.finish_request(1, AttemptEnd.answered, 0.1)
    assert_that(
        send(entry, make_request(3), 0.2).upstream.name, Equals('near0')
    )


def test_without_workspaces_the_domain_counts_only_its_round_trip() -> None:
    """A deployment without workspaces chooses upstreams as before."""
    chosen = set()
    for seed in range(40):
        entry = _entry(seed)
        entry.chooser.preference.configure(62, is_enabled=False)
        action = send(entry, make_request(1), 0)
        assert_that(action.tokens_per_s, Equals(0))
        chosen.add(action.upstream.failure_domain)
    assert_that(chosen, Equals({'d1', 'd2'}))
