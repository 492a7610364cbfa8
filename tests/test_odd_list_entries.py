"""One odd entry of the list never keeps the others from being used."""

import json
from types import MappingProxyType
from typing import Any, Final

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure as Failed
from testtools.assertions import assert_that
from testtools.matchers import Equals

from persimmonhold.fleet import FleetMessage, FleetUpdate, UpstreamFacts
from persimmonhold.platform._configuration import decode_configuration
from persimmonhold.platform._dialect import PlatformDialect
from persimmonhold.platform._listing import decode_list_page, decode_report
from persimmonhold.web import RequestHead, encode_headers, parse_address

_ENTRY: Final = MappingProxyType({
    'id': 'i-1',
    'service': 'models',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'state': 'ready',
    'slots': 4,
    'born': 5,
    'version': 'v1',
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
})
_DEEP: Final = 100_000
_HUGE: Final = '9' * 30
_NESTED: Final = MappingProxyType({
    'list': '[' * _DEEP + ']' * _DEEP,
    'object': '{"a":' * _DEEP + '1' + '}' * _DEEP,
})
_DECODER: Final = msgspec.msgpack.Decoder[FleetMessage](FleetMessage)


def _build_entry(field: str, text: str) -> bytes:
    """Return an entry whose field has a value of the given JSON text."""
    entry = json.dumps({**_ENTRY, 'id': 'odd', field: '@'})
    return entry.replace('"@"', text).encode('utf-8', 'surrogatepass')


def _list_upstreams(*entries: bytes) -> tuple[UpstreamFacts, ...]:
    """Decode a page, and pass its upstreams on to an entry and back."""
    sound = json.dumps(dict(_ENTRY)).encode()
    body = b'{"instances":[%b],"next-token":"p-2"}' % b','.join((
        *entries,
        sound,
    ))
    page = decode_list_page(body).unwrap()
    assert_that(page.next_page, Equals('p-2'))
    facts = tuple(UpstreamFacts.from_listed(one) for one in page.upstreams)
    update = FleetUpdate(
        term=1, sequence=1, base=0, number=1, list_age_s=0, facts=facts
    )
    received = _DECODER.decode(msgspec.msgpack.encode(update))
    assert_that(received, Equals(update))
    for one in facts:
        assert not isinstance(parse_address(one.address), Failed)
    return facts


@pytest.mark.parametrize('nesting', ['list', 'object'])
@pytest.mark.parametrize(
    'field', ['version', 'models', 'slots', 'id', 'unknown']
)
def test_deeply_nested_entry_does_not_hide_the_others(
    field: str, nesting: str
) -> None:
    facts = _list_upstreams(_build_entry(field, _NESTED[nesting]))
    assert_that([one.name for one in facts], Equals(['i-1']))


@pytest.mark.parametrize('nesting', ['list', 'object'])
def test_nested_value_in_place_of_an_entry_is_left_out(nesting: str) -> None:
    facts = _list_upstreams(_NESTED[nesting].encode())
    assert_that([one.name for one in facts], Equals(['i-1']))


@pytest.mark.parametrize(
    ('field', 'text'),
    [
        ('slots', _HUGE),
        ('slots', '18446744073709551616'),
        ('slots', '-1'),
        ('slots', '1e400'),
        ('slots', 'NaN'),
        ('born', _HUGE),
        ('born', f'-{_HUGE}'),
        ('born', '1.5'),
        ('models', f'[{{"name":"m","version":{_HUGE}}}]'),
        ('address', '"10.0.0.1:70000"'),
        ('address', f'"10.0.0.1:{_HUGE}"'),
        ('address', '"10.0.0.1:-1"'),
        ('address', '"10.0.0.1:0"'),
        ('address', '"10.0.0.1:"'),
        ('address', '"somewhere:80"'),
        ('address', r'"\ud800:80"'),
        ('id', r'"\udfff"'),
        ('id', json.dumps('x' * 100_000)),
        ('id', '""'),
        ('id', 'null'),
        ('service', '7'),
    ],
)
def test_entry_with_a_value_out_of_range_is_left_out(
    field: str, text: str
) -> None:
    facts = _list_upstreams(_build_entry(field, text))
    assert_that([one.name for one in facts], Equals(['i-1']))


@pytest.mark.parametrize('text', ['7', 'null', _HUGE, json.dumps('v' * 9000)])
def test_entry_with_an_odd_version_is_used_with_an_unknown_one(
    text: str,
) -> None:
    facts = _list_upstreams(_build_entry('version', text))
    assert_that([one.name for one in facts], Equals(['odd', 'i-1']))
    assert_that(facts[0].software_version, Equals(''))


@given(
    st.recursive(
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats()
        | st.text(max_size=20),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(sorted(_ENTRY)), inner)
        ),
        max_leaves=20,
    ),
    st.sampled_from(sorted(_ENTRY)),
    st.integers(0, 200),
)
def test_no_entry_hides_the_others(drawn: Any, field: str, cut: int) -> None:
    for entry in (drawn, {**_ENTRY, 'id': 'odd', field: drawn}):
        facts = _list_upstreams(json.dumps(entry).encode())
        assert_that(facts[-1].name, Equals('i-1'))
        assert_that(len(facts), Equals(len({one.name for one in facts})))
    # Even a body that is cut off has a result.
    body = b'{"instances":[%b]}' % json.dumps(drawn).encode()
    decode_list_page(body[:cut])


@pytest.mark.parametrize('nesting', ['list', 'object'])
def test_nested_report_and_configuration_are_refused(nesting: str) -> None:
    body = b'{"seq":1,"busy":false,"models":[],"x":%b}'
    nested = _NESTED[nesting].encode()
    assert isinstance(decode_report(body % nested), Failed)
    assert isinstance(decode_configuration(nested), Failed)


@pytest.mark.parametrize('field', ['seq', 'born'])
def test_report_with_a_number_too_large_is_refused(field: str) -> None:
    report = {'seq': 1, 'busy': False, 'models': [], field: int(_HUGE)}
    assert isinstance(decode_report(json.dumps(report).encode()), Failed)


def test_configuration_with_a_version_too_large_is_refused() -> None:
    body = b'{"version":%b,"routes":[],"services":[]}' % _HUGE.encode()
    assert isinstance(decode_configuration(body), Failed)


@pytest.mark.parametrize('counts', [f'{_HUGE},4', f'4,{_HUGE}', '-1,4', '4,-1'])
def test_request_with_a_token_count_out_of_range_is_malformed(
    counts: str,
) -> None:
    headers = encode_headers({'attempt-id': 'r1', 'token-count': counts})
    head = RequestHead(method='POST', target='/', headers=headers, peer='')
    assert isinstance(PlatformDialect().decode_profile(head), Failed)
