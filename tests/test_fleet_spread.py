"""Tests of how requests are spread over the upstreams of a plain service."""

import asyncio
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.virtual_loop import run_in_virtual_time
from tests.limited_fleet import LimitedFleet
from tests.plain_load import PlainLoad

_SEEDS = range(3)
_SETTLE_S = 5.0
_MEASURED_S = 15.0
# Of an equal share.
_MIN_SHARE = 0.5
_MAX_SHARE = 1.6
_MAX_SLOW_SHARE = 0.4


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize(
    ('entries', 'per_s', 'response_s'),
    [
        (1, 30, 0.03),
        (7, 30, 0.03),
        (7, 30, 0.09),
        (7, 30, 0.3),
        (65, 60, 0.045),
    ],
)
def test_no_sound_upstream_of_a_plain_service_stays_idle(
    entries: int, per_s: float, response_s: float, seed: int
) -> None:
    load = PlainLoad(entries, 4, seed, lambda name, now: response_s)
    load.run(_SETTLE_S + _MEASURED_S, per_s)
    shares = load.shares(_SETTLE_S, load.now).values()
    assert_that(min(shares), GreaterThan(_MIN_SHARE))
    assert_that(max(shares), LessThan(_MAX_SHARE))


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('response_s', [0.03, 0.09, 0.3])
def test_new_upstream_of_a_plain_service_gets_its_share_within_seconds(
    response_s: float, seed: int
) -> None:
    load = PlainLoad(7, 3, seed, lambda name, now: response_s)
    load.run(_MEASURED_S, 30)
    load.names.append('u3')
    load.run(_SETTLE_S + _MEASURED_S, 30)
    shares = load.shares(_MEASURED_S + _SETTLE_S, load.now)
    assert_that(shares['u3'], GreaterThan(_MIN_SHARE))


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('response_s', [0.03, 0.09, 0.3])
def test_upstream_that_was_slow_gets_its_share_again_within_seconds(
    response_s: float, seed: int
) -> None:
    def answer_in(name: str, now: float) -> float:
        is_slow = name == 'u0' and 5 <= now < 20
        return response_s * 10 if is_slow else response_s

    load = PlainLoad(7, 4, seed, answer_in)
    load.run(40, 30)
    while_slow = load.shares(5, 20)
    assert_that(while_slow['u0'], LessThan(_MAX_SLOW_SHARE))
    afterwards = load.shares(20 + _SETTLE_S, load.now)
    assert_that(min(afterwards.values()), GreaterThan(_MIN_SHARE))


def test_each_entry_uses_each_upstream_of_a_plain_service(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with LimitedFleet(7, tmp_path, monkeypatch) as fleet:
            fleet.send_requests(80)
            await asyncio.sleep(_SETTLE_S)
            for upstream in fleet.upstreams.values():
                users = {entry for _, entry in upstream.arrivals}
                assert_that(users, Equals(set(fleet.entries)))

    run_in_virtual_time(scenario())
