"""Offered load by target, refused requests included.

Invariant: at most two periods of counts are kept, for targets that had
requests in them.
"""

from collections import defaultdict
from typing import final

from persimmonhold.admission._admission_request import AdmissionRequest
from persimmonhold.admission._offered_load import OfferedLoad
from persimmonhold.messages import Demand


@final
class DemandMeter:
    """Counts offers in periods and reports the last whole one."""

    __slots__ = ('_current', '_last', '_period_s', '_started_at')

    def __init__(self, period_s: float) -> None:
        """Create a meter; the first period begins with the first offer."""
        self._period_s = period_s
        self._started_at = 0.0
        self._current: defaultdict[str, OfferedLoad] = defaultdict(OfferedLoad)
        self._last: dict[str, OfferedLoad] = {}

    def offer(self, request: AdmissionRequest, now: float) -> None:
        """Count an arrival."""
        self._advance(now)
        load = self._current[request.target]
        load.requests += 1
        load.prompt_tokens += request.prompt_tokens
        load.output_tokens += request.output_tokens

    def refuse(self, target: str, now: float) -> None:
        """Count a refusal for want of capacity."""
        self._advance(now)
        self._current[target].refused += 1

    def demand(self, now: float, waiting: dict[str, int]) -> tuple[Demand, ...]:
        """Return the demand of the last whole period by target."""
        self._advance(now)
        return tuple(
            self._demand(target, waiting.get(target, 0))
            for target in sorted(self._last.keys() | waiting.keys())
        )

    def _demand(self, target: str, waiting: int) -> Demand:
        load = self._last.get(target) or OfferedLoad()
        return Demand(
            target=target,
            requests_per_second=load.requests / self._period_s,
            prompt_tokens_per_second=load.prompt_tokens / self._period_s,
            output_tokens_per_second=load.output_tokens / self._period_s,
            waiting=waiting + load.refused,
        )

    def _advance(self, now: float) -> None:
        passed = now - self._started_at
        if passed < self._period_s:
            return
        is_next = passed < 2 * self._period_s
        self._last = dict(self._current) if is_next else {}
        self._current.clear()
        self._started_at = now - passed % self._period_s
