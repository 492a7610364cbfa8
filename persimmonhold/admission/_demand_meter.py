"""Measures the offered load by target, including refused requests.

Invariant: counts are kept for at most two periods, the present and the last
one, and only for targets that received requests in these periods.
"""

from collections import defaultdict
from typing import final

from persimmonhold.admission._admission_request import AdmissionRequest
from persimmonhold.admission._offered_load import OfferedLoad
from persimmonhold.messages import Demand


@final
class DemandMeter:
    """Counts arrivals per period and reports the last complete period."""

    __slots__ = (
        '_current_loads',
        '_last_loads',
        '_period_s',
        '_period_started_at',
    )

    def __init__(self, period_s: float) -> None:
        """Create a meter; periods start at multiples of `period_s`."""
        self._period_s = period_s
        self._period_started_at = 0.0
        self._current_loads: defaultdict[str, OfferedLoad] = defaultdict(
            OfferedLoad
        )
        self._last_loads: dict[str, OfferedLoad] = {}

    def record_arrival(self, request: AdmissionRequest, now: float) -> None:
        """Count a new request and its tokens."""
        self._rotate_periods(now)
        load = self._current_loads[request.target]
        load.requests += 1
        load.prompt_tokens += request.prompt_tokens
        load.output_tokens += request.output_tokens

    def record_refusal(self, target: str, now: float) -> None:
        """Count a request for a target, refused for lack of capacity."""
        self._rotate_periods(now)
        self._current_loads[target].refused += 1

    def last_period_demand(
        self, now: float, waiting: dict[str, int]
    ) -> tuple[Demand, ...]:
        """Return the demand by target in the last complete period.

        `waiting` is the number of requests now queued for each target.
        """
        self._rotate_periods(now)
        return tuple(
            self._build_demand(target, waiting.get(target, 0))
            for target in sorted(self._last_loads.keys() | waiting.keys())
        )

    def _build_demand(self, target: str, waiting: int) -> Demand:
        load = self._last_loads.get(target) or OfferedLoad()
        return Demand(
            target=target,
            requests_per_second=load.requests / self._period_s,
            prompt_tokens_per_second=load.prompt_tokens / self._period_s,
            output_tokens_per_second=load.output_tokens / self._period_s,
            waiting=waiting + load.refused,
        )

    def _rotate_periods(self, now: float) -> None:
        """Begin a new period if the present one is over.

        If more than one period has passed, the last complete one had no
        requests.
        """
        passed = now - self._period_started_at
        if passed < self._period_s:
            return
        is_next = passed < 2 * self._period_s
        self._last_loads = dict(self._current_loads) if is_next else {}
        self._current_loads.clear()
        self._period_started_at = now - passed % self._period_s
