"""Tests of how the speed at which upstreams read prompts is learned."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    Not,
)

from persimmonhold.fleet import (
    AttemptEnd,
    EntryReport,
    FleetDemand,
    FleetDemandMeter,
)
from persimmonhold.fleet._fleet_speeds import FleetSpeeds
from persimmonhold.fleet._learned_engine import LearnedEngine
from persimmonhold.fleet._speed_sums import SpeedSums
from tests.fleet_builders import make_facts, make_update
from tests.prompt_builders import make_entry, make_prompt, send, serve

_USUAL_PER_S = 36_000.0
_SLOW_PER_S = 12_000


def _slow(tokens: int = 9000) -> SpeedSums:
    return SpeedSums('u0', tokens, tokens * 1000 // _SLOW_PER_S)


def test_speed_of_another_vm_decays_to_the_usual_one() -> None:
    """An upstream that gets no work any more would else stay slow."""
    learned = LearnedEngine('u0')
    learned.state_speed(_slow(), 0)
    found = [learned.estimate_per_s(_USUAL_PER_S, at) for at in (0, 10, 60)]
    assert_that(found[0], LessThan(13_500.0))
    # Half the tokens, beside those of the usual speed.
    assert_that(
        round(found[1]), Equals(round(5300 / (4500 / 12e3 + 800 / 36e3)))
    )
    assert_that(found[2], GreaterThan(20_000.0))


@pytest.mark.parametrize('first_event_s', [0.0, 0.001, 30.0])
def test_one_stalled_response_does_not_dominate(first_event_s: float) -> None:
    entry = make_entry(make_facts('u0'))
    serve(entry, make_prompt(1, ('5e', 800)), 1, first_event_s)
    sent = send(entry, make_prompt(2, ('7a', 800)), 2 + first_event_s)
    assert_that(sent.tokens_per_s, GreaterThan(7000))
    assert_that(sent.tokens_per_s, LessThan(60_000))


def test_restart_drops_the_speed() -> None:
    entry = make_entry(make_facts('u0'))
    for number in range(1, 6):
        serve(entry, make_prompt(number, (f'{number}', 900)), number, 0.3)
    slow = send(entry, make_prompt(6, ('66', 900)), 6)
    assert_that(slow.tokens_per_s, LessThan(10_000))
    entry.finish_request(6, AttemptEnd.cancelled, 6)
    restarted = msgspec.structs.replace(make_facts('u0'), born_ms=2)
    entry.apply_update(make_update(restarted, sequence=2), 7)
    fresh = send(entry, make_prompt(7, ('77', 900)), 8)
    assert_that(fresh.tokens_per_s, Equals(36_000))


def test_observations_reach_the_other_entries() -> None:
    facts = [make_facts(f'u{one}') for one in range(2)]
    first, second = (make_entry(*facts, seed=one) for one in range(2))
    meter = FleetDemandMeter()
    demand = FleetDemand()
    seen = set()
    for number in range(1, 5):
        prompt = make_prompt(number, (f'{number}', 900))
        seen.add(serve(first, prompt, number, 0.2))
        report = meter.build_report(first, number + 0.3)
        assert_that(report.speeds, HasLength(1))
        demand.record_report('e0', report, number + 0.3)
    assert_that(meter.build_report(first, 6).speeds, HasLength(0))
    update = msgspec.structs.replace(
        make_update(*facts, sequence=2),
        speeds=demand.speeds.list_changes(4.5),
    )
    second.apply_update(update, 4.5)
    for name in seen:
        learned = second.chooser.trackers[name].learned
        assert_that(learned.observed_per_s, LessThan(10_000.0))
    off = make_entry(*facts, is_learning=False)
    off.apply_update(update, 4.5)
    assert_that(off.chooser.trackers['u0'].learned.observed_per_s, Equals(0))


def test_changed_speeds_are_sent_at_once_and_all_others_in_turn() -> None:
    """Sending all speeds each round would add a third to the updates."""
    speeds = FleetSpeeds()
    names = [f'u{one}' for one in range(60)]
    speeds.record_observations((SpeedSums(name, 900, 25) for name in names), 0)
    rounds = [speeds.list_changes(one / 10) for one in range(30)]
    assert_that(rounds[0], HasLength(60))
    assert_that(rounds[10], HasLength(3))
    in_turn = {sums.upstream for one in rounds[8:28] for sums in one}
    assert_that(in_turn, HasLength(60))
    speeds.record_observations((SpeedSums('u7', 900, 75),), 3)
    sent = [one.upstream for one in speeds.list_changes(3.01)]
    assert_that(sent, Contains('u7'))
    assert_that(len(sent), LessThan(5))
    assert_that(speeds.list_changes(70), HasLength(0))
    assert_that(speeds.by_upstream, HasLength(0))


def test_reports_of_the_previous_build_are_read() -> None:
    """Builds run side by side while a deployment is replaced."""
    report = EntryReport(term=1, number=2, sequence=3, speeds=(_slow(),))
    encoded = msgspec.msgpack.encode(report)
    fields = msgspec.msgpack.decode(encoded)
    # The tag comes before the fields; that build ends before the speeds.
    end = 1 + EntryReport.__struct_fields__.index('speeds')
    previous = msgspec.msgpack.encode(fields[:end])
    decoded = msgspec.msgpack.decode(previous, type=EntryReport)
    assert_that(decoded.speeds, Equals(()))
    assert_that(decoded.content, Not(Equals(report.content)))
    longer = msgspec.msgpack.encode([*fields, 'later'])
    later = msgspec.msgpack.decode(longer, type=EntryReport)
    assert_that(later, Equals(report))
