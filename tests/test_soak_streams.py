"""The soak's check of streams that callers take up, and its faults."""

from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from bench.soak._fault import FaultKind
from bench.soak._plan import Plan
from bench.soak._record import Record
from bench.soak._shape import Shape
from bench.soak._stream_share import (
    StreamShare,
    StreamTry,
    has_copies_serving,
)

_SENT_AT = 100.0
_ENDED_AT = 101.0


def _try(number: int, **fields: Any) -> StreamTry:
    values = {
        'vm': 'e1',
        'sent_at': _SENT_AT,
        'ended_at': _ENDED_AT,
        'after': 0,
        'event_count': 1,
        **fields,
    }
    return StreamTry(stream=f's{number}', request_id=f'r{number}', **values)


def _share(went_on: int, taken_up: int, **fields: Any) -> StreamShare:
    """Return streams that were taken up, and as many new ones, which began."""
    share = StreamShare(Record())
    for number in range(taken_up):
        share.tries.append(_try(number))
        count = int(number < went_on)
        share.tries.append(_try(number, after=2, event_count=count, **fields))
    return share


@pytest.mark.parametrize(
    ('went_on', 'taken_up', 'violation_count'),
    [(5, 12, 1), (6, 12, 0), (0, 11, 0)],
)
def test_too_few_streams_that_go_on_are_a_violation(
    went_on: int, taken_up: int, violation_count: int
) -> None:
    found = list(_share(went_on, taken_up).find_violations())
    assert_that(found, HasLength(violation_count))


def test_stream_goes_on_if_any_of_its_tries_does() -> None:
    share = _share(0, 12)
    share.tries.extend(
        _try(number, after=2, event_count=1) for number in range(12)
    )
    assert_that(list(share.find_violations()), Equals([]))


def test_streams_of_versions_that_hardly_serve_do_not_count() -> None:
    share = _share(0, 12, has_copies_serving=False)
    assert_that(list(share.find_violations()), Equals([]))


@pytest.mark.parametrize(
    ('vm', 'at', 'violation_count'),
    [
        ('e1', _SENT_AT - 3.9, 0),
        ('e1', _SENT_AT - 4.1, 1),
        ('e1', _ENDED_AT, 0),
        ('e2', _SENT_AT, 1),
        ('c1', _SENT_AT - 3.9, 0),
        ('c1', _ENDED_AT, 1),
    ],
)
def test_tries_at_vms_out_of_touch_do_not_count(
    vm: str, at: float, violation_count: int
) -> None:
    """Starts, kills and stops put a VM out of touch, and all with control."""
    for name in ('starts', 'disruptions'):
        share = _share(0, 12)
        moment = at if name == 'starts' else (at, at)
        getattr(share.record, name)[vm].append(moment)
        found = list(share.find_violations())
        assert_that(found, HasLength(violation_count), name)


def test_upstreams_that_drain_or_are_of_another_version_do_not_serve() -> None:
    listed = [
        {'id': str(number), 'service': 'a', 'state': state, 'version': version}
        for number, (state, version) in enumerate((
            ('ready', 'v1'),
            ('draining', 'v1'),
            ('ready', 'v2'),
            ('ready', 'v2'),
        ))
    ]
    assert_that(has_copies_serving(listed, 'a', 'v1'), Equals(False))
    assert_that(has_copies_serving(listed, 'a', 'v2'), Equals(True))
    assert_that(has_copies_serving(listed, 'b', 'v2'), Equals(False))


def test_schedule_breaks_streams_in_each_way() -> None:
    plan = Plan(3, 30, 0, has_releases=True, shape=Shape.rare(24))
    kinds = {fault.kind for fault in plan.faults}
    assert_that(
        kinds,
        Equals({
            FaultKind.kill,
            FaultKind.stop,
            FaultKind.crash,
            FaultKind.release,
            FaultKind.kill_all,
        }),
    )
    times = [fault.at_s for fault in plan.faults]
    assert_that(times, Equals(sorted(times)))
