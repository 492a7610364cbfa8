"""Tests of free slots shared among entries by the urgency of what waits."""

import msgspec
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from persimmonhold.fleet import EntryReport, FleetDemand
from persimmonhold.fleet._free_places import FreePlaces
from persimmonhold.fleet._model_demand import ModelDemand
from persimmonhold.fleet._model_waiting import ModelWaiting
from persimmonhold.fleet._slot_share import SlotShare, find_slot_share
from persimmonhold.fleet._waiting_class import WaitingClass

_URGENT = (0, 0)
_TOLERANT = (0, 5)
_LATE = WaitingClass(*_URGENT, 4, 2)
_PUNCTUAL = WaitingClass(*_URGENT, 4)
_PATIENT = WaitingClass(*_TOLERANT, 30)


def test_tolerant_work_leaves_slots_to_late_urgent_work_elsewhere() -> None:
    """Each entry refilled its slots with tolerant work all the time."""
    share = find_slot_share(_TOLERANT, [_PATIENT], [_LATE], is_due_near=False)
    assert share is not None
    assert_that(share, Equals(SlotShare(1.0, 4)))
    # No slot is free and ten of twenty requests are of this entry: of four
    # slots, it yields two.
    places = FreePlaces(0, 10, 0.5, 20)
    assert_that(places.allows_another(8, share), Is(False))
    assert_that(places.allows_another(7, share), Is(True))


def test_tolerant_work_is_guaranteed_some_updates() -> None:
    """It would starve at entries where nothing urgent waits."""
    places = FreePlaces(0, 10, 0.05, 20)
    assert_that(places.allows_another(9, SlotShare(1.0, 50)), Is(True))


def test_urgent_work_has_the_slots_that_tolerant_work_leaves() -> None:
    """Slots would stay free if both counted all that waits."""
    share = find_slot_share(_URGENT, [_LATE], [_PATIENT], is_due_near=True)
    assert_that(share, Equals(SlotShare(1.0, 0)))


def test_slots_are_shared_as_before_while_urgent_work_is_in_time() -> None:
    """Routes of different priority change nothing without late work."""
    for own, elsewhere in (
        ([_PATIENT], [_PUNCTUAL]),
        ([_LATE], [_LATE]),
        ([], []),
    ):
        share = find_slot_share(_TOLERANT, own, elsewhere, is_due_near=False)
        assert_that(share, Is(None))


def _report(sequence: int, *classes: WaitingClass) -> EntryReport:
    count = sum(one.count for one in classes)
    demand = ModelDemand('models', 'm1', waiting=count, classes=classes)
    return EntryReport(
        term=1, number=0, sequence=sequence, loads=(), demand=(demand,)
    )


def test_priorities_of_what_waits_are_those_of_all_other_entries() -> None:
    """An entry would yield slots to its own requests, or to answered ones."""
    demand = FleetDemand()
    demand.record_report('e1', _report(1, _PATIENT), 0)
    demand.record_report('e2', _report(1, _PUNCTUAL), 0)
    demand.record_report('e2', _report(2, _LATE), 0)
    demand.record_report('e3', _report(1, _LATE), 0)
    for_first = demand.sum_other_waiting('e1')[0]
    assert_that(for_first.count, Equals(8))
    assert_that(for_first.classes, Equals((WaitingClass(*_URGENT, 8, 4),)))
    demand.record_report('e3', _report(2), 0)
    for_second = demand.sum_other_waiting('e2')[0]
    assert_that(for_second.classes, Equals((_PATIENT,)))
    demand.drop_silent_entries(10)
    assert_that(demand.waiting_classes, Equals({}))


def test_messages_of_the_previous_build_are_read() -> None:
    """Entries and controllers of two builds run beside each other."""
    old = msgspec.json.encode(('models', 'm1', 3))
    waiting = msgspec.json.decode(old, type=ModelWaiting)
    assert_that(waiting, Equals(ModelWaiting('models', 'm1', 3)))
    demand = msgspec.json.decode(
        msgspec.json.encode(('models', 'm1', 1, 2, 3, 4)), type=ModelDemand
    )
    assert_that(demand.classes, Equals(()))
