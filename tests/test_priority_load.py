"""Tests of requests of several priorities at 1.3 times the capacity."""

from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan

from tests.priority_load import (
    CHECK,
    TOLERANT,
    URGENT,
    Arrivals,
    Outcomes,
    PriorityLoad,
    credit_share,
    total_credit,
)

# Three simulated engines finish about 36 requests of this mix in a second.
_PER_S: Final = 1.3 * 36
_ENTRIES: Final = 7
_ENGINES: Final = 3
_RUN_S: Final = 40


def _load(urgent_surge: float) -> tuple[Arrivals, ...]:
    return (
        Arrivals(URGENT, 0.5 * _PER_S, urgent_surge),
        Arrivals(TOLERANT, 0.3 * _PER_S),
        Arrivals(CHECK, 0.2 * _PER_S),
    )


@pytest.mark.parametrize(
    ('urgent_surge', 'least_urgent', 'least_check', 'least_total'),
    [
        # Before, urgent streams earned 0.76, checks 0.75 and all 0.79.
        pytest.param(1.0, 0.82, 0.82, 0.8, id='steady'),
        # Before, urgent streams earned 0.64, checks 0.72 and all 0.73.
        pytest.param(1.7, 0.65, 0.73, 0.73, id='surge'),
    ],
)
def test_urgent_work_is_served_before_tolerant_work(
    urgent_surge: float,
    least_urgent: float,
    least_check: float,
    least_total: float,
) -> None:
    """Tolerant work earned 0.94 to 1.0 of its credit, urgent work far less."""
    play = PriorityLoad(_ENTRIES, _ENGINES, seed=1)
    outcomes = play.run(_RUN_S, _load(urgent_surge))
    assert_that(credit_share(outcomes, URGENT), GreaterThan(least_urgent))
    assert_that(credit_share(outcomes, CHECK), GreaterThan(least_check))
    assert_that(credit_share(outcomes, TOLERANT), GreaterThan(0.4))
    assert_that(total_credit(outcomes), GreaterThan(least_total))


def _served(outcomes: Outcomes) -> float:
    return sum(one.credit > 0 for one in outcomes) / len(outcomes)


def test_workspace_at_six_times_the_others_does_not_displace_them() -> None:
    """It was served as often as the fifteen others, which lost by its load."""
    per_s = _PER_S / 21
    load = (
        Arrivals(URGENT, 6 * per_s, workspace='big'),
        *(
            Arrivals(URGENT, per_s, workspace=f'w{number}')
            for number in range(15)
        ),
    )
    outcomes = PriorityLoad(3, _ENGINES, seed=0).run(30, load)
    big = [one for one in outcomes if one.workspace == 'big']
    others = [one for one in outcomes if one.workspace != 'big']
    assert_that(_served(others), GreaterThan(0.8))
    assert_that(_served(others), GreaterThan(_served(big) + 0.1))
    by_size = sorted(outcomes, key=lambda one: one.stream.prompt)
    largest = by_size[-len(by_size) // 10 :]
    assert_that(_served(largest), GreaterThan(_served(outcomes) / 2))
