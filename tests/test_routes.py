"""Tests of the validation, look-up and versions of routing documents."""

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, LessThan

from persimmonhold.control.machine import (
    CommandStatus,
    ControlStateMachine,
    PutRoutes,
)
from persimmonhold.routes import (
    ForwardRoute,
    RouteTable,
    RouteTarget,
    RoutingDocument,
    validate_document,
)
from tests.fleet_builders import make_document, make_route

_SEGMENTS = st.lists(st.sampled_from(('a', 'b', 'c')), max_size=4)


def _with_route(**changes: object) -> RoutingDocument:
    document = make_document()
    changed = msgspec.structs.replace(document.routes[0], **changes)
    return msgspec.structs.replace(document, routes=(changed,))


@pytest.mark.parametrize(
    ('document', 'fault'),
    [
        (make_document(0), 'version'),
        (_with_route(timeout_ms=0), 'timeout'),
        (_with_route(targets=(RouteTarget('none'),)), 'unknown service'),
        (_with_route(targets=(RouteTarget('models', 0),)), 'weights'),
        (_with_route(targets=()), 'weights'),
        (_with_route(path_prefix='/chat'), 'slash'),
        (
            msgspec.structs.replace(
                make_document(),
                routes=(make_route(), make_route()),
            ),
            'taken',
        ),
    ],
)
def test_error_names_the_fault(document: RoutingDocument, fault: str) -> None:
    assert_that(validate_document(document), Contains(fault))


def test_valid_document_has_no_fault() -> None:
    assert_that(validate_document(make_document()), Equals(''))


@given(
    prefixes=st.lists(_SEGMENTS, min_size=1, max_size=8),
    path=_SEGMENTS,
)
def test_longest_prefix_wins(
    prefixes: list[list[str]],
    path: list[str],
) -> None:
    texts = {'/' + ''.join(f'{part}/' for part in one) for one in prefixes}
    routes = tuple(
        msgspec.structs.replace(make_route(), name=text, path_prefix=text)
        for text in sorted(texts)
    )
    table = RouteTable(RoutingDocument(version=1, routes=routes))
    asked = '/' + '/'.join(path)
    fitting = [text for text in texts if asked.startswith(text)]
    found = table.find_route('A.example:8080', asked)
    expected = max(fitting, key=len, default=None)
    assert_that(found.name if found else None, Equals(expected))


class CountingDict(dict[str, ForwardRoute]):
    """Counts look-ups."""

    def __init__(self, routes: dict[str, ForwardRoute]) -> None:
        super().__init__(routes)
        self.lookups = 0

    def get(self, key: str, default: object = None) -> Any:
        """Count and look up."""
        self.lookups += 1
        return super().get(key, default)


@pytest.mark.parametrize('path', ['/' * 16_000, '/a' * 8000, '/chat' * 3000])
def test_look_up_takes_as_many_steps_as_there_are_prefix_lengths(
    path: str,
) -> None:
    """A path of 16,000 slashes took 36 ms of the loop, and hung the entries."""
    table = RouteTable(make_document())
    prefixes = CountingDict(table.routes_by_host['a.example'])
    table.routes_by_host['a.example'] = prefixes
    table.find_route('a.example', path)
    assert_that(prefixes.lookups, LessThan(len(prefixes) + 1))


def test_other_hosts_have_no_route() -> None:
    table = RouteTable(make_document())
    assert_that(table.find_route('b.example', '/chat/x'), Is(None))


def _put(
    machine: ControlStateMachine,
    index: int,
    document: RoutingDocument,
) -> CommandStatus:
    command = PutRoutes(at_ms=1, document=document)
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(command),
        type=PutRoutes,
    )
    return machine.apply(index, decoded).status


@given(versions=st.lists(st.integers(1, 30), min_size=1, max_size=20))
def test_versions_never_go_back(versions: list[int]) -> None:
    machine = ControlStateMachine()
    held: list[int] = []
    for index, version in enumerate(versions, start=1):
        status = _put(machine, index, make_document(version))
        assert_that(status, Equals(CommandStatus.done))
        held.append(machine.state.view.routes.version)
    assert_that(held, Equals(sorted(held)))
    assert_that(held[-1], Equals(max(versions)))


def test_other_content_under_a_held_version_changes_nothing() -> None:
    machine = ControlStateMachine()
    _put(machine, 1, make_document(5))
    other: ForwardRoute = msgspec.structs.replace(make_route(), name='other')
    _put(
        machine,
        2,
        msgspec.structs.replace(make_document(5), routes=(other,)),
    )
    routes = machine.state.view.routes.routes
    assert_that(routes[0].name, Equals('chat'))


def test_invalid_document_is_refused_and_not_held() -> None:
    machine = ControlStateMachine()
    status = _put(machine, 1, _with_route(timeout_ms=0))
    assert_that(status, Equals(CommandStatus.bad_entry))
    assert_that(machine.state.view.routes.version, Equals(0))


def test_routes_outlive_a_snapshot() -> None:
    machine = ControlStateMachine()
    _put(machine, 1, make_document(7))
    restored = ControlStateMachine()
    restored.restore(machine.snapshot())
    assert_that(restored.state.view.routes, Equals(make_document(7)))
    assert_that(restored.state.view.digest, Equals(machine.state.view.digest))


def test_kept_changes_hold_few_documents() -> None:
    """A reader that lags far behind gets a snapshot, not every document."""
    machine = ControlStateMachine()
    for version in range(1, 301):
        _put(machine, version, make_document(version))
    view = machine.state.view
    assert_that(view.changes_since(290) is None, Is(False))
    assert_that(view.changes_since(200), Is(None))
