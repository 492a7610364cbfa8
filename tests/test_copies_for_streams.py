"""A stream that is taken up gets a copy of its model at its own version."""

import random

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from persimmonhold.fleet import (
    AttemptEnd,
    EntryReport,
    ForwardDispatcher,
    RetryBounds,
    UpstreamFacts,
    WantedCopy,
)
from persimmonhold.forwarding._stream_recorder import StreamRecorder
from tests.fleet_builders import (
    make_facts,
    make_request,
    make_route,
    make_update,
)

_NOW = 100.0


def _make_facts(
    name: str, version: str, *models: str, silent: bool = False
) -> UpstreamFacts:
    return msgspec.structs.replace(
        make_facts(name, models), software_version=version, is_silent=silent
    )


def _take_up(*facts: UpstreamFacts) -> tuple[WantedCopy, ...]:
    """Take up a stream of m1 that began at v1; return the copies to load."""
    dispatcher = ForwardDispatcher('d1', RetryBounds(), random.Random(1))
    dispatcher.apply_update(make_update(*facts), _NOW)
    request = msgspec.structs.replace(
        make_request(1, _NOW, route=make_route(resumable=True)), build='v1'
    )
    if dispatcher.submit_request(request, _NOW):
        dispatcher.retry_request(1, AttemptEnd.unreachable, _NOW)
    recorder = StreamRecorder(dispatcher, lambda: _NOW)
    report = EntryReport(term=1, number=1, sequence=1)
    return recorder.complete_report(report).wanted


# The fleet controller loads no models at such an upstream, so callers waited
# until it had left the list, or their time was over.
@pytest.mark.parametrize('is_leaving', [True, False])
def test_copy_is_wanted_if_its_only_holder_leaves_or_is_silent(
    is_leaving: bool,
) -> None:
    holder = _make_facts('u1', 'v1', 'm1', silent=not is_leaving)
    wanted = _take_up(
        msgspec.structs.replace(holder, is_leaving=is_leaving),
        _make_facts('u2', 'v1', 'm2'),
        _make_facts('u3', 'v2', 'm1'),
    )
    expected = WantedCopy('models', 'm1', 'v1', waiting=1)
    assert_that(wanted, Equals((expected,)))


def test_no_copy_is_wanted_while_one_of_the_version_serves() -> None:
    """A copy too many would take the room of another model."""
    wanted = _take_up(
        _make_facts('u1', 'v1', 'm1'),
        _make_facts('u2', 'v2', 'm1'),
    )
    assert_that(wanted, Equals(()))
