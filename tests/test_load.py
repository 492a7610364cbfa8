"""Tests the schedule, stream validation and audit of the load tool."""

from types import MappingProxyType

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Not

from persimmonhold.load import (
    MIXES,
    PlannedRequest,
    RequestKind,
    RequestOutcome,
    Schedule,
    StandinRecord,
    StreamValidator,
    audit_calls,
)
from persimmonhold.load._traffic_mix import TrafficMix
from persimmonhold.standin import Execution, Generation

_TARGETS = MappingProxyType({
    RequestKind.stream: ('m1', 'm2'),
    RequestKind.call: ('bookings',),
})
_TOKENS = 6


def _planned(key: str) -> PlannedRequest:
    return PlannedRequest(
        at_s=0,
        kind=RequestKind.call,
        target='bookings',
        caller='c',
        failure_domain='a',
        time_limit_s=5,
        key=key,
    )


def _events(document: dict[str, object]) -> list[bytes]:
    generation = Generation(document, priority=0, offset=0)
    return [
        b'data: '
        + msgspec.json.encode({
            'choices': [{'delta': {'content': generation.token_at(at)}}],
        })
        + b'\n\n'
        for at in range(_TOKENS)
    ]


@pytest.fixture
def document() -> dict[str, object]:
    return {'model': 'm', 'prompt': 'p', 'max_tokens': _TOKENS}


@pytest.mark.parametrize('mix', MIXES, ids=lambda mix: mix.name)
def test_plan_depends_on_the_seed_alone(mix: TrafficMix) -> None:
    plans = [
        Schedule(mix, dict(_TARGETS), ('a', 'b'), seed).plan_requests(50, 20)
        for seed in (1, 1, 2)
    ]
    assert_that(plans[0], Equals(plans[1]))
    assert_that(plans[0], Not(Equals(plans[2])))
    assert_that(700 < len(plans[0]) < 1300, Equals(True))
    keys = [request.key for request in plans[0] if request.key]
    assert_that(set(keys), HasLength(len(keys)))


@given(cuts=st.lists(st.integers(min_value=0, max_value=600), max_size=6))
def test_whole_stream_passes_however_it_is_cut(cuts: list[int]) -> None:
    document: dict[str, object] = {
        'model': 'm',
        'prompt': 'p',
        'max_tokens': _TOKENS,
    }
    stream = b''.join(_events(document)) + b'data: [DONE]\n\n'
    validator = StreamValidator(document)
    edges = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
    for start, end in zip(edges, edges[1:], strict=False):
        validator.feed(stream[start:end])
    assert_that(validator.is_complete, Equals(True))


@pytest.mark.parametrize(
    'order',
    [
        [0, 1, 2, 3, 4],
        [0, 1, 2, 3, 4, 4],
        [0, 1, 1, 2, 3, 4, 5],
        [0, 2, 1, 3, 4, 5],
        [1, 2, 3, 4, 5],
    ],
    ids=['lost last', 'last twice', 'doubled', 'swapped', 'lost first'],
)
def test_wrong_or_incomplete_stream_is_rejected(
    order: list[int],
    document: dict[str, object],
) -> None:
    events = _events(document)
    validator = StreamValidator(document)
    for at in order:
        validator.feed(events[at])
    validator.feed(b'data: [DONE]\n\n')
    assert_that(validator.is_complete, Equals(False))


def test_stream_without_end_marker_is_incomplete(
    document: dict[str, object],
) -> None:
    validator = StreamValidator(document)
    validator.feed(b''.join(_events(document)))
    assert_that(validator.is_complete, Equals(False))


@pytest.mark.parametrize(
    ('outcome', 'executions', 'mismatches'),
    [
        (RequestOutcome(planned=_planned('k'), is_complete=True), 1, 0),
        (RequestOutcome(planned=_planned('k'), is_complete=True), 2, 1),
        (RequestOutcome(planned=_planned('k'), is_complete=True), 0, 1),
        (RequestOutcome(planned=_planned('k'), ran='no'), 0, 0),
        (RequestOutcome(planned=_planned('k'), ran='no'), 1, 1),
        (RequestOutcome(planned=_planned('k'), ran='unknown'), 1, 0),
        (RequestOutcome(planned=_planned('k'), ran='unknown'), 0, 0),
        (RequestOutcome(planned=_planned('k'), ran='unknown'), 2, 1),
    ],
)
def test_audit_finds_every_mismatch(
    outcome: RequestOutcome,
    executions: int,
    mismatches: int,
) -> None:
    execution = Execution(request_id='r', key='k', path='/')
    record = StandinRecord(
        engines={},
        executions={'bookings-1': (execution,) * executions},
        unreachable=(),
    )
    result = audit_calls((outcome,), record)
    assert_that(result.mismatches, HasLength(mismatches))
