"""Which load reports to fetch next within a budget of bytes.

Upstreams with requests of this entry come round four times as often as idle
ones. No upstream is polled more often than the shortest interval.
"""

import heapq
from collections.abc import Iterable, Mapping
from typing import Final, final

from persimmonhold.routing._router_settings import RouterSettings
from persimmonhold.routing._upstream_state import UpstreamState

_ACTIVE_WEIGHT: Final = 4
_BURST_S: Final = 2.0


@final
class PollPlan:
    """Spends the budget on the upstreams that are overdue most."""

    __slots__ = ('_at', '_bytes', '_settings')

    def __init__(self, settings: RouterSettings) -> None:
        """Create a plan with a full budget."""
        self._settings = settings
        self._bytes = settings.poll_bytes_per_second * _BURST_S
        self._at = 0.0

    def due(
        self,
        names: Iterable[str],
        states: Mapping[str, UpstreamState],
        now: float,
    ) -> tuple[str, ...]:
        """Return the upstreams to poll now, and count them as polled."""
        self._earn(now)
        ranked = [
            (_overdue_s(states[name], now), name)
            for name in names
            if self._may_poll(states[name], now)
        ]
        affordable = int(self._bytes / self._settings.poll_size_bytes)
        chosen = heapq.nlargest(affordable, ranked)
        self._bytes -= len(chosen) * self._settings.poll_size_bytes
        polled = tuple(name for _, name in chosen)
        for upstream in polled:
            states[upstream].load.polled_at = now
        return polled

    def _earn(self, now: float) -> None:
        rate = self._settings.poll_bytes_per_second
        earned = max(0, now - self._at) * rate
        self._bytes = min(rate * _BURST_S, self._bytes + earned)
        self._at = now

    def _may_poll(self, state: UpstreamState, now: float) -> bool:
        waited_s = now - state.load.polled_at
        return waited_s >= self._settings.poll_interval_s


def _overdue_s(state: UpstreamState, now: float) -> float:
    waited_s = now - state.load.polled_at
    return waited_s * _ACTIVE_WEIGHT if state.load.in_flight else waited_s
