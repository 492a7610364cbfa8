"""The state machine of an entry's planned stop.

Invariants: the phases only advance; `closing` begins no earlier than the
directory's TTL plus a margin after the entry left the directory, unless the
entry has to close at once. During the margin, responses carry
`Connection: close`, so that no caller sends a request on a connection that is
about to be closed.
"""

from typing import Final, final

from persimmonhold.directory._drain_phase import DrainPhase
from persimmonhold.directory._stop_schedule import StopSchedule

_NEVER: Final = float('inf')


@final
class Drain:
    """Tracks the phase and the schedule of one entry's planned stop.

    The times of `schedule` are infinite before the drain.
    """

    __slots__ = (
        '_margin_s',
        '_timeout_s',
        '_ttl_s',
        'phase',
        'schedule',
    )

    def __init__(self, ttl_s: float, margin_s: float, timeout_s: float) -> None:
        """Create the state of an entry in phase `serving`.

        Callers may use a directory response for `ttl_s` seconds. The entry
        accepts no new connections from `margin_s` seconds after it has begun
        to announce the close. The requests in flight then have `timeout_s`
        seconds to end.
        """
        self.phase = DrainPhase.serving
        self.schedule = StopSchedule(
            announces_close_at=_NEVER,
            closes_at=_NEVER,
            answers_at=_NEVER,
            ends_at=_NEVER,
        )
        self._ttl_s = ttl_s
        self._margin_s = margin_s
        self._timeout_s = timeout_s

    def start_drain(self, now: float) -> None:
        """Enter phase `leaving` and schedule the close of connections.

        Has an effect only in phase `serving`.
        """
        if self.phase is DrainPhase.serving:
            self.phase = DrainPhase.leaving
            self._schedule_close(now)

    def close_at_once(self, now: float, max_timeout_s: float) -> None:
        """Schedule the close for now, as the process cannot serve on.

        The requests in flight have at most `max_timeout_s` seconds to end. A
        drain that has begun is not prolonged.
        """
        if self.phase is DrainPhase.serving:
            self.phase = DrainPhase.leaving
        timeout_s = min(self._timeout_s, max_timeout_s)
        schedule = StopSchedule.within_drain(now, 0, 0, timeout_s)
        if schedule.ends_at < self.schedule.ends_at:
            self.schedule = schedule

    def record_directory_exit(self, now: float) -> None:
        """Schedule the close anew, as the directory listed the entry until now.

        Has an effect only in phase `leaving`.
        """
        if self.phase is DrainPhase.leaving:
            self._schedule_close(now)

    def advance(self, now: float, in_flight: int) -> DrainPhase:
        """Advance to the phase that is due at time `now` and return it.

        `in_flight` is the number of requests in flight at this entry.
        """
        if self.phase is DrainPhase.leaving and now >= self.schedule.closes_at:
            self.phase = DrainPhase.closing
        is_over = in_flight == 0 or now >= self.schedule.ends_at
        if self.phase is DrainPhase.closing and is_over:
            self.phase = DrainPhase.drained
        return self.phase

    def _schedule_close(self, now: float) -> None:
        """Schedule the close for when the TTL and the margin have passed."""
        self.schedule = StopSchedule.within_drain(
            now, self._ttl_s, self._margin_s, self._timeout_s
        )
