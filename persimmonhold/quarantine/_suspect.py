"""What requests have in common that may crash the upstreams that run them."""

import abc
import math
from typing import Final, TypeAlias

from persimmonhold.quarantine._messages import ObservedCrash

# When a process ended, and the request.
DatedCrash: TypeAlias = tuple[float, ObservedCrash]
_MAX_CRASHES: Final = 16  # more add nothing to the evidence
_MAX_REQUESTS: Final = 64
# Time for entries to learn that something is suspected, and to report that an
# upstream has begun to answer it since and has gone on for `PROOF_S`.
WATCH_S: Final = 1.0
SUSPICION_S: Final = 120.0


class Suspect(abc.ABC):
    """The upstreams that ended under requests that have something in common.

    `crashes` maps a process to when it ended, and to the request. Those before
    `answered_at`, when an upstream last began to answer such a request and went
    on, do not count. `request_ids` are the requests of all entries' reports.
    The controller has known of a crash that counts since `suspected_since`.
    `survivor_count` counts the processes that cut such a request and live.
    """

    __slots__ = (
        '_valid_crashes',
        'answered_at',
        'crashes',
        'request_ids',
        'survivor_count',
        'suspected_since',
    )

    def __init__(self, now: float) -> None:
        """Create a suspect without evidence."""
        self.suspected_since = now
        self.answered_at = -math.inf
        self.crashes: dict[tuple[str, int], DatedCrash] = {}
        self.request_ids: set[str] = set()
        self.survivor_count = 0
        self._valid_crashes: list[DatedCrash] | None = None

    @property
    def valid_crashes(self) -> list[DatedCrash]:
        """The crashes that count, in order of time."""
        if self._valid_crashes is None:
            self._valid_crashes = sorted(
                (
                    one
                    for one in self.crashes.values()
                    if one[0] > self.answered_at
                ),
                key=lambda one: one[0],
            )
        return self._valid_crashes

    def count_crashes(self, until: float) -> int:
        """Count the crashes up to a time that count."""
        if self.last_crash_at <= until:
            return len(self.valid_crashes)
        return sum(at <= until for at, _ in self.valid_crashes)

    @property
    def last_crash_at(self) -> float:
        """When the last process ended that counts."""
        crashes = self.valid_crashes
        return crashes[-1][0] if crashes else -math.inf

    @property
    @abc.abstractmethod
    def watched_until(self) -> float:
        """Until when entries report the answers of such requests."""

    @property
    @abc.abstractmethod
    def request_rank(self) -> int:
        """Ranks suspects with as many crashes by their requests, from low."""

    @abc.abstractmethod
    def is_convicted(
        self, crashes: list[DatedCrash], answered_at: float, now: float
    ) -> bool:
        """Tell whether some of the crashes are sufficient for a quarantine.

        An upstream last began to answer any request at `answered_at`.
        """

    def add_crash(self, crash: ObservedCrash, at: float, now: float) -> None:
        """Add the end of a process; entries may report the same one."""
        if self.is_newly_suspected():
            self.suspected_since = now
        self._valid_crashes = None
        for known, (ended_at, _) in tuple(self.crashes.items()):
            if ended_at <= self.answered_at:
                self.crashes.pop(known)
        known_crash = self.crashes.get(crash.process_key)
        if known_crash is None:
            if len(self.crashes) < _MAX_CRASHES:
                self.crashes[crash.process_key] = (at, crash)
        elif crash.request_id != known_crash[1].request_id:
            # The end of the process is the last of its cuts.
            self.crashes[crash.process_key] = max(
                (at, crash), known_crash, key=lambda one: one[0]
            )
        if len(self.request_ids) < _MAX_REQUESTS:
            self.request_ids.add(crash.request_id)

    def drop_crashes(self, survived: set[tuple[str, int]]) -> None:
        """Drop the cuts of processes that turned out to live."""
        for process in survived.intersection(self.crashes):
            self.crashes.pop(process)
            self.survivor_count += 1
            self._valid_crashes = None

    def is_newly_suspected(self) -> bool:
        """Tell whether the next crash begins a suspicion."""
        return not self.valid_crashes

    def record_answered(self, at: float) -> None:
        """Record that an upstream began to answer such a request, and went on."""
        self.answered_at = max(self.answered_at, at)
        self._valid_crashes = None

    def is_stale(self, now: float) -> bool:
        """Tell whether all that is known is too old to count."""
        return now - max(self.last_crash_at, self.answered_at) > SUSPICION_S
