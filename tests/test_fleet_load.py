"""What callers get under load: shares of requests answered in time."""

import math

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan

from tests.engine_load import LoadPlay

_SEEDS = range(6)
_GAIN = 0.02  # beyond what six seeds differ by


@pytest.mark.parametrize('per_s', [18, 24])
def test_bounded_reading_keeps_more_streams_in_time(per_s: int) -> None:
    """Prompts in clumps, at and above what two engines answer in time."""
    bounded = sum(_share(seed, per_s) for seed in _SEEDS)
    unbounded = sum(_share(seed, per_s, math.inf) for seed in _SEEDS)
    gain = (bounded - unbounded) / len(_SEEDS)
    assert_that(gain, GreaterThan(_GAIN))


@pytest.mark.parametrize('seed', _SEEDS)
def test_long_prompts_are_served_as_often_under_load(seed: int) -> None:
    """Half as often as the others at least, as for the largest tenth."""
    play = LoadPlay(7, 2, seed)
    play.run(16, 18, 3)
    by_size = sorted(play.asked, key=lambda one: one.prompt)
    longest = by_size[-len(by_size) // 10 :]
    ended = sum(one.left <= 0 for one in longest) / len(longest)
    ended_of_all = sum(one.left <= 0 for one in by_size) / len(by_size)
    assert_that(ended, GreaterThan(ended_of_all / 2))


def _share(seed: int, per_s: int, read_share: float | None = None) -> float:
    play = LoadPlay(7, 2, seed)
    if read_share is not None:
        for entry in play.entries:
            entry.chooser.read_share = read_share
    return play.run(16, per_s, 3)
