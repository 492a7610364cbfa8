"""The usual prefill speed of the engines of each service."""

from typing import Final, final

from persimmonhold.fleet._engine_speed import PROMPT_TOKENS_PER_S
from persimmonhold.fleet._upstream_groups import UpstreamGroups

_MAX_AGE_S: Final = 1.0  # how long a median is used; it changes slowly
# Older observations do not count.
_OBSERVED_WITHIN_S: Final = 30.0
_MIN_ENGINES: Final = 3  # with fewer, the median may be that of a slow engine


@final
class UsualSpeeds:
    """Keeps the median of the observed speeds for each service."""

    __slots__ = ('by_service', 'groups')

    def __init__(self, groups: UpstreamGroups) -> None:
        """Create the medians of the services in `groups`."""
        self.groups = groups
        self.by_service: dict[str, tuple[float, float]] = {}

    def find_per_s(self, service: str, now: float) -> float:
        """Return the usual prompt tokens a second at a service."""
        known = self.by_service.get(service)
        if known is not None and now - known[1] < _MAX_AGE_S:
            return known[0]
        found = self._compute_median(service, now)
        self.by_service[service] = (found, now)
        return found

    def _compute_median(self, service: str, now: float) -> float:
        """Return the median, or the constant if few engines were observed."""
        observed = [
            tracker.learned.observed_per_s
            for tracker in self.groups.by_service.get(service, ())
            if now - tracker.learned.observed_at < _OBSERVED_WITHIN_S
        ]
        speeds = sorted(speed for speed in observed if speed)
        if len(speeds) < _MIN_ENGINES:
            return PROMPT_TOKENS_PER_S
        return speeds[len(speeds) // 2]
