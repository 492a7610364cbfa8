"""A stream that is taken up gets a copy of its model at its own version."""

import random

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from persimmonhold.fleet import (
    AttemptEnd,
    DispatchRequest,
    EntryReport,
    ForwardDispatcher,
    RefuseRequest,
    RetryBounds,
    SendRequest,
    UpstreamFacts,
    UpstreamLedger,
    WantedCopy,
)
from persimmonhold.fleet._copy_planner import CopyPlanner
from persimmonhold.fleet._model_load import ModelLoad
from persimmonhold.forwarding._stream_recorder import StreamRecorder
from tests.fleet_builders import (
    ENGINE,
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
    if dispatcher.submit_request(_make_stream(), _NOW):
        dispatcher.retry_request(1, AttemptEnd.unreachable, _NOW)
    recorder = StreamRecorder(dispatcher, lambda: _NOW)
    report = EntryReport(term=1, number=1, sequence=1)
    return recorder.complete_report(report).wanted


def _make_stream() -> DispatchRequest:
    """Return a stream of m1 that began at v1 and is taken up."""
    return msgspec.structs.replace(
        make_request(1, _NOW, route=make_route(resumable=True)), build='v1'
    )


def test_stream_waits_at_an_entry_that_has_no_list_yet() -> None:
    """It was refused as if its version were gone, while new streams waited."""
    dispatcher = ForwardDispatcher('d1', RetryBounds(), random.Random(1))
    assert_that(dispatcher.submit_request(_make_stream(), _NOW), Equals(()))
    update = make_update(
        _make_facts('u1', 'v2', 'm1'), _make_facts('u2', 'v1', 'm1')
    )
    sent = dispatcher.apply_update(update, _NOW + 1)
    names = [one.upstream.name for one in sent if isinstance(one, SendRequest)]
    assert_that(names, Equals(['u2']))


def test_stream_is_refused_once_its_version_is_known_to_be_gone() -> None:
    dispatcher = ForwardDispatcher('d1', RetryBounds(), random.Random(1))
    dispatcher.apply_update(make_update(_make_facts('u1', 'v2', 'm1')), _NOW)
    refused = dispatcher.submit_request(_make_stream(), _NOW)
    reasons = [one.reason for one in refused if isinstance(one, RefuseRequest)]
    assert_that(reasons, Equals(['no_upstream_of_version']))


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


@pytest.mark.parametrize(
    ('held_elsewhere', 'evicted'), [('v1', 'm1'), ('v2', 'm2')]
)
def test_copy_that_was_loaded_for_a_stream_stays_until_it_is_sent(
    held_elsewhere: str, evicted: str
) -> None:
    """The next stream that waited had it evicted before any request came.

    Other copies of its version serve the stream, those of another do not.
    """
    ledgers = [UpstreamLedger(name) for name in ('u1', 'u2')]
    for ledger, models in zip(ledgers, (('m1', 'm2'), ('m1',)), strict=True):
        ledger.is_content_known = True
        ledger.held = {model: set() for model in models}
    loads = {model: ModelLoad(0.0) for model in ('m1', 'm2', 'm3')}
    loads['m2'].slow_arrivals_per_s = 0.2
    planner = CopyPlanner(ENGINE, ledgers, loads, {}, {}, {}, (), 0.0)
    planner.builds = {'u1': 'v1', 'u2': held_elsewhere}
    planner.wanted_copies = (
        WantedCopy('models', 'm1', 'v1'),
        WantedCopy('models', 'm3', 'v1', waiting=2),
    )
    ledgers[1].loading = 'm4'  # it takes no order now
    planned = planner.plan_next_order(can_load_from_store=True)
    found = planned and (planned.upstream, planned.order.model)
    assert_that(found, Equals(('u1', evicted)))
