"""Tests of explaining a request from the logs of several VMs.

The logs in tests/samples were recorded while a day of load was played.
"""

from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from persimmonhold.cli._explain_command import explain_request
from persimmonhold.explanation import RequestExplanation, parse_lines

_SAMPLES = Path(__file__).parent / 'samples'


def _explain_sample(name: str) -> RequestExplanation:
    text = (_SAMPLES / f'{name}.log').read_text(encoding='utf-8')
    lines = parse_lines(name, text.splitlines())
    ends = [line for line in lines if line.event in {'request', 'refused'}]
    return RequestExplanation(str(ends[-1].fields['request_id']), lines)


@pytest.mark.parametrize(
    ('sample', 'cause'),
    [
        ('refused_while_full', 'no_capacity'),
        ('failed_call', 'may not be repeated'),
        ('broken_stream', 'broke off its stream'),
    ],
)
def test_recorded_failures_are_explained(
    sample: str,
    cause: str,
) -> None:
    assert_that(_explain_sample(sample).cause, Contains(cause))


def test_command_merges_files() -> None:
    paths = ','.join(str(path) for path in sorted(_SAMPLES.glob('*.log')))
    output = explain_request('none', paths)
    assert_that(output.text, Equals('no line about the request none'))


def test_lines_without_json_are_ignored() -> None:
    lines = parse_lines('vm', ['panic', '{"at":1}', '  1.0 vm {broken'])
    assert_that(lines, Equals([]))


@pytest.mark.parametrize(
    ('cause', 'reason', 'expected'),
    [
        ('turned_away', 'upstreams_turned_away', 'turned requests of this'),
        ('leaving', 'upstreams_leaving', 'stated that it leaves'),
    ],
)
def test_spared_upstreams_are_named_as_the_cause(
    cause: str, reason: str, expected: str
) -> None:
    logged = (
        f'{{"at":1,"event":"sparing_begins","upstream":"u1","cause":"{cause}"}}',
        '{"at":1,"event":"attempt","request_id":"r1","upstream":"u1",'
        '"end":"full","detail":"status 503"}',
        f'{{"at":2,"event":"request","request_id":"r1","outcome":"{reason}",'
        '"total_ms":900}',
    )
    explanation = RequestExplanation('r1', parse_lines('vm', logged))
    assert_that(explanation.cause, Contains(expected))
    assert_that(explanation.format_text(), Contains('sparing_begins'))
