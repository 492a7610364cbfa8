"""A part of a prompt that may crash the upstreams that answer it."""

import math
from itertools import pairwise
from typing import Final, final

from persimmonhold.quarantine._messages import ObservedCrash

# Upstreams that end so soon after each other have another cause in common.
_COINCIDENCE_S: Final = 0.3
_MAX_CRASHES: Final = 16  # more add nothing to the evidence
_MIN_CRASHES: Final = 3
_MIN_REQUESTS: Final = 2
# Time for entries to learn that a part is suspected, and to report that an
# upstream has begun to answer it since and has gone on for `PROOF_S`.
WATCH_S: Final = 1.0
_SUSPICION_S: Final = 600.0


@final
class SuspectedPart:
    """The upstreams that ended under requests with one part.

    `crashes` maps a process to when it ended, and to the request. Those before
    `answered_at`, when an upstream last began to answer the part and went on,
    do not count.
    """

    __slots__ = ('answered_at', 'crashes')

    def __init__(self) -> None:
        """Create a part without evidence."""
        self.answered_at = -math.inf
        self.crashes: dict[tuple[str, int], tuple[float, ObservedCrash]] = {}

    @property
    def valid_crashes(self) -> list[tuple[float, ObservedCrash]]:
        """The crashes that count, in order of time."""
        return sorted(
            (one for one in self.crashes.values() if one[0] > self.answered_at),
            key=lambda one: one[0],
        )

    @property
    def last_crash_at(self) -> float:
        """When the last process ended that counts."""
        crashes = self.valid_crashes
        return crashes[-1][0] if crashes else -math.inf

    def add_crash(self, crash: ObservedCrash, at: float) -> None:
        """Add the end of a process; entries may report the same one."""
        for known, (ended_at, _) in tuple(self.crashes.items()):
            if ended_at <= self.answered_at:
                self.crashes.pop(known)
        process = (crash.upstream, crash.born_ms)
        if len(self.crashes) < _MAX_CRASHES:
            self.crashes.setdefault(process, (at, crash))

    def record_answered(self, at: float) -> None:
        """Record that an upstream began to answer the part and went on."""
        self.answered_at = max(self.answered_at, at)

    def is_stale(self, now: float) -> bool:
        """Tell whether all that is known of the part is too old to count."""
        return now - max(self.last_crash_at, self.answered_at) > _SUSPICION_S

    def is_convicted(self, now: float, last_end: float | None) -> bool:
        """Tell whether the evidence is sufficient for a quarantine.

        A single crash is after the end of an earlier one, `last_end`.
        """
        crashes = self.valid_crashes
        if last_end is not None:
            return self.last_crash_at > last_end
        requests = {crash.request_id for _, crash in crashes}
        times = [at for at, _ in crashes]
        moments = 1 + sum(
            later - earlier >= _COINCIDENCE_S
            for earlier, later in pairwise(times)
        )
        return (
            min(len(crashes), moments) >= _MIN_CRASHES
            and len(requests) >= _MIN_REQUESTS
            and now - times[0] >= WATCH_S
        )
