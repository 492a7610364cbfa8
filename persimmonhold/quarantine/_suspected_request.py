"""A repeated request that may crash the upstreams that run it."""

import math
from typing import Final, final

from persimmonhold.quarantine._suspect import (
    SUSPICION_S,
    WATCH_S,
    DatedCrash,
    Suspect,
)

_MIN_CRASHES: Final = 3
# An upstream has answered an equal request before; only many ends since then
# show that it crashes upstreams now.
_MIN_CRASHES_ONCE_ANSWERED: Final = 8
_MIN_WATCHED_CRASHES: Final = 2


@final
class SuspectedRequest(Suspect):
    """The upstreams that ended under equal requests.

    Equal requests rarely run at several upstreams at once, so ends at the same
    moment count, as do those of upstreams that answer nothing else.
    """

    __slots__ = ()

    @property
    def watched_until(self) -> float:
        """Until when entries report the answers of equal requests.

        All requests that were cut together have one crash; they are not watched.
        """
        if len(self.valid_crashes) < _MIN_WATCHED_CRASHES:
            return -math.inf
        return self.last_crash_at + SUSPICION_S

    @property
    def request_rank(self) -> int:
        """The cause of the crashes is in more attempts than what ran beside it."""
        return -len(self.request_ids)

    def is_newly_suspected(self) -> bool:
        """Tell whether the next crash is the first or the first watched one."""
        return len(self.valid_crashes) < _MIN_WATCHED_CRASHES

    def is_convicted(
        self, crashes: list[DatedCrash], answered_at: float, now: float
    ) -> bool:
        """Tell whether crashes under equal requests suffice for a quarantine."""
        min_crashes = _MIN_CRASHES
        if math.isfinite(self.answered_at):
            min_crashes = _MIN_CRASHES_ONCE_ANSWERED
        return (
            len(crashes) >= min_crashes
            and now - self.suspected_since >= WATCH_S
        )
