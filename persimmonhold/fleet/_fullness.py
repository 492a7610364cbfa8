"""What an entry knows of an upstream that refuses requests as full."""

import math
from typing import Final, Self, final

from persimmonhold.fleet._limit_observation import LimitObservation
from persimmonhold.fleet._request_limit_view import RequestLimitView

_FIRST_PAUSE_S: Final = 0.05  # typical time until a busy upstream frees a slot
_MAX_PAUSE_S: Final = 0.4
# After a refusal, a brittle upstream gets no request while it counts that
# refusal.
_BRITTLE_PAUSE_S: Final = 1.05


@final
class Fullness:
    """How long an upstream is avoided after it refused a request as full.

    `count` counts its refusals since it last showed a free slot. Each pause is
    twice as long as the one before. After it, a single request finds out
    whether the upstream is still full. `brittleness` is how many refusals a
    second it withstands before it fails; its requests need slots like permits.
    """

    __slots__ = ('brittleness', 'count', 'until')

    def __init__(self) -> None:
        """Create the state of an upstream that has refused nothing."""
        self.count = 0
        self.until = -math.inf
        self.brittleness = RequestLimitView()

    def restart(self, now: float) -> Self:
        """Return the state of a process that replaces this one."""
        started = type(self)()
        started.expect_brittleness(self.brittleness.per_s, now)
        return started

    def expect_brittleness(
        self, refusals_per_s: float | None, now: float
    ) -> None:
        """Expect a new process to be brittle until its first response.

        It is expected to withstand as few refusals as others of its service, or
        as the process that it replaces.
        """
        if refusals_per_s is not None:
            self.brittleness.observation = LimitObservation(
                refusals_per_s, now, now
            )

    def record_refusal(self, sent_at: float, now: float) -> None:
        """Record the refusal of a request.

        One that was sent before an earlier refusal shows nothing new.
        """
        if self.brittleness.per_s is not None:
            self.brittleness.close(now + _BRITTLE_PAUSE_S)
        if sent_at >= self.until:
            pause_s = _FIRST_PAUSE_S * 2 ** min(self.count, 4)
            self.until = now + min(_MAX_PAUSE_S, pause_s)
            self.count += 1

    def record_free_slot(self) -> None:
        """Record that the upstream began or ended a request."""
        self.count = 0

    def is_in_force(self, last_unanswered_at: float, now: float) -> bool:
        """Tell whether the upstream gets no request now.

        The last request there without a response was sent at
        `last_unanswered_at`.
        """
        if now < self.until:
            return True
        return self.count > 0 and last_unanswered_at >= self.until
