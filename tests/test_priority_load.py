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
