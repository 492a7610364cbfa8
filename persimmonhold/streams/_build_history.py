"""Which builds of each service have served lately."""

import math
from collections.abc import Iterable
from typing import Final, final

import msgspec

from persimmonhold.streams._stream_registry import STREAM_LIFE_S, StreamOrigin

_MAX_REPORTED: Final = 32
# A new build joins and leaves within no shorter time.
_MAX_OBSERVATION_GAP_S: Final = 4.0


@final
class SeenBuild(msgspec.Struct, frozen=True, array_like=True):
    """A build of a service, and how long ago an upstream was known to run it."""

    service: str
    build: str
    age_s: float


@final
class BuildHistory:
    """When each build of a service was last known to serve.

    `known_since` is since when this process has observed without a gap, and
    `observed_at` the time of the newest list. A process that was cut off or
    stood still does not know what served meanwhile. A stream of unknown origin
    can only be of the one build that has served for as long as streams last.
    `covered_at` is when another VM last reported that its observation is as
    long as that.
    """

    __slots__ = ('covered_at', 'known_since', 'last_seen', 'observed_at')

    def __init__(self) -> None:
        """Create a history without observations."""
        self.covered_at = -math.inf
        self.known_since = math.inf
        self.observed_at = -math.inf
        self.last_seen: dict[StreamOrigin, float] = {}

    def record_serving(
        self, serving: Iterable[tuple[str, str]], observed_at: float, now: float
    ) -> None:
        """Record the service and the version of each upstream, or '' for it.

        `observed_at` is when the list that tells it was read.
        """
        if observed_at - self.observed_at > _MAX_OBSERVATION_GAP_S:
            self.known_since = observed_at
        self.observed_at = max(self.observed_at, observed_at)
        current = {StreamOrigin(*one) for one in serving}
        stating = {one.service for one in current if one.build}
        for origin in current:
            # The version of a process that has just started becomes known soon.
            if origin.build or origin.service not in stating:
                self.last_seen[origin] = max(
                    observed_at, self.last_seen.get(origin, observed_at)
                )
        self._drop_old(now)

    def record_reported(
        self, seen: Iterable[SeenBuild], observed_s: float, now: float
    ) -> None:
        """Record what another VM has observed for `observed_s` seconds."""
        if observed_s >= STREAM_LIFE_S:
            self.covered_at = now
        for one in seen:
            origin = StreamOrigin(one.service, one.build)
            seen_at = now - max(0, one.age_s)
            self.last_seen[origin] = max(
                seen_at, self.last_seen.get(origin, seen_at)
            )

    def list_served(self, now: float) -> tuple[StreamOrigin, ...]:
        """Return the builds that have served within the life of a stream."""
        return tuple(
            origin
            for origin, at in self.last_seen.items()
            if now - at <= STREAM_LIFE_S
        )

    def find_sole_build(
        self, service: str, now: float, recorded: Iterable[str] = ()
    ) -> StreamOrigin | None:
        """Return the only build of a service of late, or None.

        Those in `recorded` have served, too.
        """
        builds = {
            origin.build
            for origin in self.list_served(now)
            if origin.service == service
        }.union(recorded)
        return StreamOrigin(service, *builds) if len(builds) == 1 else None

    def find_observed_s(self, now: float) -> float:
        """Return for how many seconds this process has observed without a gap.

        It is 0 if the newest list is too old.
        """
        if now - self.observed_at > _MAX_OBSERVATION_GAP_S:
            return 0
        return max(0, now - self.known_since)

    def covers_streams(self, now: float) -> bool:
        """Tell whether this process has observed for as long as streams last.

        False if it missed what served for a while, then or until now.
        """
        return self.find_observed_s(now) >= STREAM_LIFE_S

    def is_covered(self, now: float) -> bool:
        """Tell whether this or another VM has observed for that long."""
        return (
            self.covers_streams(now)
            or now - self.covered_at <= _MAX_OBSERVATION_GAP_S
        )

    def build_report(self, now: float) -> tuple[SeenBuild, ...]:
        """Return the builds seen last, up to a bound."""
        newest = sorted(self.last_seen.items(), key=lambda one: -one[1])
        return tuple(
            SeenBuild(origin.service, origin.build, now - at)
            for origin, at in newest[:_MAX_REPORTED]
        )

    def _drop_old(self, now: float) -> None:
        for origin, at in tuple(self.last_seen.items()):
            if now - at > STREAM_LIFE_S:
                self.last_seen.pop(origin)
