"""A part of a prompt that may crash the upstreams that answer it."""

import math
from collections.abc import Iterable
from typing import Final, final

from persimmonhold.quarantine._suspect import WATCH_S, DatedCrash, Suspect

# Upstreams that end so soon after each other have another cause in common.
_COINCIDENCE_S: Final = 0.15
_MIN_CRASHES: Final = 3
_MIN_REQUESTS: Final = 2
# Entries report the answers of a part for this long after a crash.
_WATCHED_S: Final = 30.0


@final
class SuspectedPart(Suspect):
    """The upstreams that ended under requests with one part of a prompt."""

    __slots__ = ()

    @property
    def watched_until(self) -> float:
        """Until when entries report the answers of the part."""
        return self.last_crash_at + _WATCHED_S

    @property
    def request_rank(self) -> int:
        """A part that sound requests share, too, is in more that were cut."""
        return len(self.request_ids)

    def is_convicted(
        self, crashes: list[DatedCrash], answered_at: float, now: float
    ) -> bool:
        """Tell whether crashes of the part are sufficient for a quarantine.

        Other prompts must have been answered since, the last one begun at
        `answered_at`; else upstreams end for a reason that all prompts share.
        """
        requests = {crash.request_id for _, crash in crashes}
        return (
            _count_moments(at for at, _ in crashes) >= _MIN_CRASHES
            and len(requests) >= _MIN_REQUESTS
            and answered_at > crashes[0][0]
            and now - max(self.suspected_since, crashes[0][0]) >= WATCH_S
        )


def _count_moments(times: Iterable[float]) -> int:
    """Count times in ascending order, without those close to a counted one."""
    counted = 0
    last = -math.inf
    for at in times:
        if at - last >= _COINCIDENCE_S:
            counted += 1
            last = at
    return counted
