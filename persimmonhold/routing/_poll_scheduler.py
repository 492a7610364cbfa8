"""Selects the upstreams whose load reports to fetch next.

A token bucket limits the bytes of load reports per second. Upstreams with
requests of this entry in flight are polled four times as often as idle ones.
No upstream is polled more often than once per `poll_interval_s`.
"""

import heapq
from collections.abc import Iterable, Mapping
from typing import Final, final

from persimmonhold.routing._router_settings import RouterSettings
from persimmonhold.routing._upstream_state import UpstreamState

# An upstream with requests of this entry in flight is polled this many times as
# often as an idle one.
_ACTIVE_UPSTREAM_WEIGHT: Final = 4
# Unused budget accumulates up to the amount that is earned in this time.
_MAX_BUDGET_S: Final = 2.0


@final
class PollScheduler:
    """Selects the most overdue upstreams within a budget of bytes."""

    __slots__ = ('_budget_bytes', '_refilled_at', '_settings')

    def __init__(self, settings: RouterSettings) -> None:
        """Create a scheduler with a full budget."""
        self._settings = settings
        self._budget_bytes = settings.poll_bytes_per_second * _MAX_BUDGET_S
        self._refilled_at = 0.0

    def select_due(
        self,
        names: Iterable[str],
        states: Mapping[str, UpstreamState],
        now: float,
    ) -> tuple[str, ...]:
        """Return the upstreams to poll now, and mark them as polled."""
        self._refill_budget(now)
        ranked = [
            (_weighted_wait_s(states[name], now), name)
            for name in names
            if self._has_poll_interval_passed(states[name], now)
        ]
        affordable = int(self._budget_bytes / self._settings.poll_size_bytes)
        chosen = heapq.nlargest(affordable, ranked)
        self._budget_bytes -= len(chosen) * self._settings.poll_size_bytes
        polled = tuple(name for _, name in chosen)
        for upstream in polled:
            states[upstream].load.last_polled_at = now
        return polled

    def _refill_budget(self, now: float) -> None:
        bytes_per_second = self._settings.poll_bytes_per_second
        earned_bytes = max(0, now - self._refilled_at) * bytes_per_second
        self._budget_bytes = min(
            bytes_per_second * _MAX_BUDGET_S, self._budget_bytes + earned_bytes
        )
        self._refilled_at = now

    def _has_poll_interval_passed(
        self, state: UpstreamState, now: float
    ) -> bool:
        waited_s = now - state.load.last_polled_at
        return waited_s >= self._settings.poll_interval_s


def _weighted_wait_s(state: UpstreamState, now: float) -> float:
    """Return the time since the last poll, by which upstreams are ranked.

    It is multiplied by `_ACTIVE_UPSTREAM_WEIGHT` for an upstream with requests
    of this entry in flight.
    """
    waited_s = now - state.load.last_polled_at
    return (
        waited_s * _ACTIVE_UPSTREAM_WEIGHT if state.load.in_flight else waited_s
    )
