"""Workspaces in routing documents: decoding, validation and encoding."""

import math
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure as Failed
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not

from persimmonhold.control.machine import ViewState
from persimmonhold.messages import ViewChange
from persimmonhold.platform._configuration import decode_configuration
from persimmonhold.routes import (
    KeyVerdict,
    RouteTable,
    RoutingDocument,
    UrgencyScale,
    Workspace,
    WorkspaceLimit,
    find_workspace_error,
    hash_key,
)
from tests.fleet_builders import make_document, make_route
from tests.platform_fakes import make_configuration

_PRIORITIES = st.integers(-3, 30)
_KEY = 'a-secret-key'


def _decode(**changes: object) -> RoutingDocument:
    document = {**make_configuration(3), **changes}
    return decode_configuration(msgspec.json.encode(document)).unwrap()


def _with_workspaces(*workspaces: Workspace) -> RoutingDocument:
    return msgspec.structs.replace(make_document(), workspaces=workspaces)


def test_workspace_is_decoded_with_all_its_fields() -> None:
    tenant = {
        'name': 'hule930',
        'api-keys': ['k1', 'k2'],
        'priority': 1,
        'unit': 'token_stream',
        'uncached-tokens': 200,
        'rate-per-s': 157_002,
        'burst': 157_003,
        'later-field': 1,
    }
    document = _decode(tenants=[tenant])
    expected = Workspace(
        name='hule930',
        key_hashes=(hash_key('k1'), hash_key('k2')),
        priority=1,
        limit=WorkspaceLimit(
            per_s=157_002,
            burst=157_003,
            counts_tokens=True,
            default_tokens=200,
        ),
    )
    assert_that(document.workspaces, Equals((expected,)))


@pytest.mark.parametrize(
    ('fields', 'limit'),
    [
        ({}, None),
        ({'rate-per-s': 0, 'burst': 5, 'unit': 'token_stream'}, None),
        ({'burst': 5}, None),
        ({'rate-per-s': 2.5}, WorkspaceLimit(per_s=2.5)),
        (
            {'rate-per-s': 2, 'unit': 'call', 'burst': 4},
            WorkspaceLimit(per_s=2, burst=4),
        ),
    ],
)
def test_fields_of_a_workspace_may_be_missing(
    fields: dict[str, Any], limit: WorkspaceLimit | None
) -> None:
    document = _decode(tenants=[{'name': 'a', 'api-keys': [], **fields}])
    expected = Workspace(name='a', limit=limit)
    assert_that(document.workspaces, Equals((expected,)))


@pytest.mark.parametrize(
    'fields',
    [
        {'rate-per-s': -1},
        {'rate-per-s': 1.1e12},
        {'burst': -1},
        {'burst': 1.1e12},
        {'uncached-tokens': -1},
        {'api-keys': [_KEY, 5]},
        {'name': 5},
    ],
    ids=str,
)
def test_decoding_error_has_no_key(fields: dict[str, Any]) -> None:
    tenant = {'name': 'a', 'api-keys': [_KEY], **fields}
    document = {**make_configuration(3), 'tenants': [tenant]}
    decoded = decode_configuration(msgspec.json.encode(document))
    assert isinstance(decoded, Failed)
    assert_that(decoded.failure(), Contains('$.tenants'))
    assert_that(decoded.failure(), Not(Contains(_KEY)))


@pytest.mark.parametrize(
    ('workspaces', 'fault'),
    [
        (('', 'k'), 'name'),
        ((' a', 'k'), 'name'),
        (('a\n', 'k'), 'name'),
        (('a', ''), 'empty'),
        (('a', _KEY, _KEY), 'listed twice'),
    ],
)
def test_error_names_the_fault_and_no_key(
    workspaces: tuple[str, ...], fault: str
) -> None:
    name, *keys = workspaces
    workspace = Workspace(name=name, key_hashes=tuple(map(hash_key, keys)))
    error = find_workspace_error(_with_workspaces(workspace))
    assert_that(error, Contains(fault))
    for key in filter(None, keys):
        assert_that(error, Not(Contains(hash_key(key))))


@pytest.mark.parametrize('number', [-1.0, math.inf, math.nan, 1.1e12])
@pytest.mark.parametrize('field', ['per_s', 'burst'])
def test_limit_out_of_range_is_an_error(field: str, number: float) -> None:
    limit = msgspec.structs.replace(WorkspaceLimit(per_s=1), **{field: number})
    workspace = Workspace(name='a', limit=limit)
    error = find_workspace_error(_with_workspaces(workspace))
    assert_that(error, Contains('rate and burst'))


def test_key_or_name_of_two_workspaces_is_an_error() -> None:
    first = Workspace(name='a', key_hashes=(hash_key(_KEY),))
    same_key = msgspec.structs.replace(first, name='b')
    same_name = Workspace(name='a')
    for other, fault in ((same_key, 'twice'), (same_name, 'two workspaces')):
        error = find_workspace_error(_with_workspaces(first, other))
        assert_that(error, Contains(fault))


def test_most_workspaces_and_keys_are_valid() -> None:
    workspaces = [
        Workspace(
            name=f'w{number}',
            key_hashes=tuple(hash_key(f'{number}.{one}') for one in range(16)),
        )
        for number in range(4096)
    ]
    assert_that(find_workspace_error(_with_workspaces(*workspaces)), Equals(''))


def test_documents_without_workspaces_have_no_new_fields() -> None:
    """Earlier builds refuse unknown fields, and digest the encoded document."""
    route = {**make_configuration(3)['routes'][0], 'public': True}
    document = _decode(tenants=[], routes=[route])
    encoded = msgspec.msgpack.encode(document)
    decoded = msgspec.msgpack.decode(encoded)
    assert_that('workspaces' in decoded, Is(False))
    assert_that('is_public' in decoded['routes'][0], Is(False))
    again = msgspec.msgpack.decode(encoded, type=RoutingDocument)
    assert_that(again, Equals(document))
    table = RouteTable(document)
    assert_that(table.has_workspaces, Is(False))
    assert_that(table.check_key(document.routes[0], ''), Equals(KeyVerdict()))


def test_view_without_workspaces_has_the_digest_of_earlier_builds() -> None:
    """VMs of both builds compare digests; this one was computed by 7f0afa3."""
    document = msgspec.structs.replace(_decode(), source=b'source')
    view = ViewState(1)
    change = ViewChange(index=1, previous=0, revision=0, routes=document)
    view.apply_change(change)
    assert_that(view.digest, Equals(7912481596926049889))


def test_key_is_found_in_the_workspace_that_holds_it() -> None:
    first = Workspace(name='a', key_hashes=(hash_key('k1'), hash_key('k2')))
    other = Workspace(name='b', key_hashes=(hash_key('k3'),), priority=4)
    table = RouteTable(_with_workspaces(first, other))
    route = make_route()
    found = [
        table.check_key(route, hash_key(key)).workspace_name
        for key in ('k1', 'k2', 'k3')
    ]
    assert_that(found, Equals(['a', 'a', 'b']))
    assert_that(table.check_key(route, hash_key('k3')).priority, Equals(4))
    for key_hash in ('', hash_key(''), hash_key('K1'), 'k1'):
        refusal = table.check_key(route, key_hash).refusal
        assert_that(refusal, Equals('unknown_key'))
    public = msgspec.structs.replace(route, is_public=True)
    for key_hash in ('', hash_key('k1')):
        assert_that(table.check_key(public, key_hash), Equals(KeyVerdict()))


@given(
    workspaces=st.lists(_PRIORITIES, min_size=1, max_size=6),
    routes=st.lists(_PRIORITIES, min_size=1, max_size=6),
)
def test_urgency_is_within_its_levels_and_keeps_the_order(
    workspaces: list[int], routes: list[int]
) -> None:
    scale = UrgencyScale(workspaces, routes)
    pairs = sorted({(one, other) for one in workspaces for other in routes})
    levels = [scale.find_level(*pair) for pair in pairs]
    assert_that(levels, Equals(sorted(levels)))
    assert_that(levels[0] >= 0 and levels[-1] <= 9, Is(True))
    if len(set(workspaces)) > 1 and len(pairs) <= 10:
        assert_that(levels, Equals(list(range(len(pairs)))))


@given(workspace=_PRIORITIES, route=_PRIORITIES)
def test_urgency_is_that_of_the_route_if_workspaces_are_equal(
    workspace: int, route: int
) -> None:
    expected = min(9, max(0, route))
    for scale in (UrgencyScale((), (1, 5)), UrgencyScale((workspace,), (1,))):
        assert_that(scale.find_level(workspace, route), Equals(expected))


@given(workspace=st.integers(), route=st.integers())
def test_urgency_of_unlisted_priorities_is_within_its_levels(
    workspace: int, route: int
) -> None:
    """A request may be sent after its route was removed by a new document."""
    scale = UrgencyScale((1, 4, 7), (0, 1, 2, 3))
    assert_that(0 <= scale.find_level(workspace, route) <= 9, Is(True))
