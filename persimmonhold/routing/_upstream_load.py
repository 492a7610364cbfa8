"""Estimates the load of an upstream.

A load report describes the moment at which it was made. This entry knows its
own requests in flight at any moment, so a report is used only for the load of
the other entries. A report loses value with age, because requests end: the
estimate for the other entries decays to its mean with the duration of an
attempt as the time constant.
"""

import math
from collections import deque
from typing import Final, final

from persimmonhold.messages import LoadReport
from persimmonhold.routing._router_settings import RouterSettings

_MS_PER_S: Final = 1000
# Weight of the newest sample in an exponential average.
_SMOOTHING_FACTOR: Final = 0.1
# Lower bound of the smoothed attempt duration, to prevent a division by zero.
_MIN_RESIDENCE_S: Final = 0.01
# Maximum number of starts and ends of attempts that are stored while no load
# report arrives.
_MAX_IN_FLIGHT_CHANGES: Final = 4096
# The weight of the smoothed prediction error falls to one half when there has
# been no new sample for this time.
_ERROR_DECAY_S: Final = 5.0


@final
class UpstreamLoad:
    """The load of one upstream, from its last report and this entry's attempts.

    `in_flight` counts this entry's attempts at the upstream;
    `pending_prefill_tokens` counts the uncached prompt tokens of those without
    a first token. `residence_s` is the smoothed duration of an attempt.
    `smoothed_error_ms` is by how much first-token times exceed their
    predictions, smoothed. `report_made_at` and `last_polled_at` are in seconds
    of the entry's clock.
    """

    __slots__ = (
        '_error_updated_at',
        '_other_entries_deviation_requests',
        '_other_entries_mean_requests',
        '_in_flight_change_since_report',
        '_in_flight_changes',
        '_settings',
        'in_flight',
        'report_made_at',
        'pending_prefill_tokens',
        'last_polled_at',
        'report',
        'residence_s',
        'smoothed_error_ms',
    )

    def __init__(self, settings: RouterSettings) -> None:
        """Create the load of an upstream without a report."""
        self.report: LoadReport | None = None
        self.report_made_at = float('-inf')
        self.last_polled_at = float('-inf')
        self.in_flight = 0
        self.pending_prefill_tokens = 0
        self.residence_s = settings.default_residence_s
        self.smoothed_error_ms = 0.0
        self._error_updated_at = 0.0
        self._in_flight_change_since_report = 0
        self._other_entries_mean_requests = 0.0
        self._other_entries_deviation_requests = 0.0
        self._in_flight_changes: deque[tuple[float, int]] = deque()
        self._settings = settings

    @property
    def slots(self) -> int:
        """The number of requests that fit into one batch."""
        if self.report is None:
            return self._settings.default_slots
        return max(1, self.report.slots)

    def apply_report(self, report: LoadReport, now: float) -> bool:
        """Apply a report and return True, or return False if it is outdated.

        It is outdated if a report that the upstream made later, since the same
        start, has already been applied.
        """
        made_at = now - report.age_ms / _MS_PER_S
        known = self.report
        if (
            known
            and known.boot_id == report.boot_id
            and made_at < self.report_made_at
        ):
            return False
        self.report = report
        self.report_made_at = made_at
        while (
            self._in_flight_changes and self._in_flight_changes[0][0] <= made_at
        ):
            self._in_flight_change_since_report -= (
                self._in_flight_changes.popleft()[1]
            )
        self._update_other_entries_load(report, is_first=known is None)
        return True

    def record_attempt_start(self, now: float, prefill_tokens: int) -> None:
        """Count an attempt that starts and has `prefill_tokens` to prefill."""
        self.in_flight += 1
        self.pending_prefill_tokens += prefill_tokens
        self._record_in_flight_change(now, 1)

    def record_attempt_end(self, now: float, started_at: float) -> None:
        """Stop counting an attempt and update the smoothed duration."""
        self.in_flight -= 1
        self._record_in_flight_change(now, -1)
        duration_s = now - started_at
        self.residence_s += _SMOOTHING_FACTOR * (duration_s - self.residence_s)

    def record_first_token(
        self, now: float, predicted_ms: float, observed_ms: float
    ) -> None:
        """Update the prediction error from an observed first-token time."""
        known_ms = self._decayed_error_ms(now)
        excess_ms = observed_ms - predicted_ms + known_ms
        self.smoothed_error_ms = known_ms + _SMOOTHING_FACTOR * (
            excess_ms - known_ms
        )
        self._error_updated_at = now

    def estimated_requests(self, now: float) -> int:
        """Return the estimated number of requests at the upstream.

        Counts the running and waiting requests of all entries. Without a
        recent report, counts only the requests of this entry.
        """
        if self.report is None or self._is_report_stale(now):
            return self.in_flight
        age_s = max(0, now - self.report_made_at)
        decay = math.exp(-age_s / max(_MIN_RESIDENCE_S, self.residence_s))
        others = (
            self._other_entries_mean_requests
            + self._other_entries_deviation_requests * decay
        )
        return self.in_flight + round(others)

    def slot_wait_ms(self, now: float) -> float:
        """Return the estimated wait for a slot in the batch."""
        excess = self.estimated_requests(now) + 1 - self.slots
        if excess <= 0:
            return 0
        return excess * self.residence_s * _MS_PER_S / self.slots

    def prompt_prefill_ms(self, tokens: int) -> float:
        """Return the time to prefill a prompt of `tokens` tokens."""
        per_second = self._settings.default_prefill_tokens_per_second
        if self.report and self.report.prefill_tokens_per_second > 0:
            per_second = self.report.prefill_tokens_per_second
        return tokens * _MS_PER_S / per_second

    def prefill_with_backlog_ms(self, tokens: int) -> float:
        """Return the time to prefill a prompt and those sent before it.

        Counts the prompts of this entry that have no first token yet.
        """
        return self.prompt_prefill_ms(self.pending_prefill_tokens + tokens)

    def idle_decode_step_ms(self) -> float:
        """Return the duration of one decode step of a small batch."""
        if self.report is None:
            return self._settings.default_decode_step_ms
        return self.report.decode_step_ms

    def decode_step_ms(self, now: float) -> float:
        """Return the duration of one decode step with the present batch.

        It is assumed to grow linearly to twice its idle value.
        """
        filled = min(1, self.estimated_requests(now) / self.slots)
        return self.idle_decode_step_ms() * (1 + filled)

    def positive_error_ms(self, now: float) -> float:
        """Return the smoothed prediction error, decayed with its age.

        Returns 0 if first tokens are earlier than predicted.
        """
        return max(0, self._decayed_error_ms(now))

    def _update_other_entries_load(
        self, report: LoadReport, *, is_first: bool
    ) -> None:
        """Update the estimated load of the other entries from a load report.

        The load is kept as its smoothed mean and the difference of the newest
        value from that mean.
        """
        own = self.in_flight - self._in_flight_change_since_report
        others = max(0, report.running + report.waiting - own)
        if is_first:
            self._other_entries_mean_requests = others
        self._other_entries_mean_requests += _SMOOTHING_FACTOR * (
            others - self._other_entries_mean_requests
        )
        self._other_entries_deviation_requests = (
            others - self._other_entries_mean_requests
        )

    def _decayed_error_ms(self, now: float) -> float:
        age_s = max(0, now - self._error_updated_at)
        return (
            self.smoothed_error_ms * _ERROR_DECAY_S / (_ERROR_DECAY_S + age_s)
        )

    def _is_report_stale(self, now: float) -> bool:
        return now - self.report_made_at > self._settings.report_max_age_s

    def _record_in_flight_change(self, now: float, change: int) -> None:
        """Record a change of `in_flight` that came after the last report."""
        self._in_flight_changes.append((now, change))
        self._in_flight_change_since_report += change
        if len(self._in_flight_changes) > _MAX_IN_FLIGHT_CHANGES:
            self._in_flight_change_since_report -= (
                self._in_flight_changes.popleft()[1]
            )
