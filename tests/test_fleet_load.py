"""Tests of fairness between prompt sizes under load."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan

from tests.engine_load import LoadSimulation

_SEEDS = range(6)


@pytest.mark.parametrize('seed', _SEEDS)
def test_long_prompts_are_served_as_often_under_load(seed: int) -> None:
    """The longest tenth completes at least half as often as all requests."""
    play = LoadSimulation(7, 2, seed)
    play.run(16, 18, 3)
    by_size = sorted(play.measured, key=lambda one: one.prompt)
    longest = by_size[-len(by_size) // 10 :]
    ended = sum(one.tokens_left <= 0 for one in longest) / len(longest)
    ended_of_all = sum(one.tokens_left <= 0 for one in by_size) / len(by_size)
    assert_that(ended, GreaterThan(ended_of_all / 2))
