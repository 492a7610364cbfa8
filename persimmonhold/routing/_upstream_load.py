"""How busy an upstream is believed to be.

A load report lags: it describes the moment at which it was made. What this
entry has in flight is known at every moment; from a report only the part of
others is taken. The older a report, the less it tells, because requests end:
the part of others returns to its mean with the time that a request takes.
"""

import math
from collections import deque
from typing import Final, final

from persimmonhold.messages import LoadReport
from persimmonhold.routing._router_settings import RouterSettings

_MS_PER_S: Final = 1000
_SMOOTHING: Final = 0.1
_LEAST_RESIDENCE_S: Final = 0.01
_MAX_EVENTS: Final = 4096
_ERROR_MEMORY_S: Final = 5.0


@final
class UpstreamLoad:
    """The last report, corrected by this entry's own attempts.

    `pending_prefill_tokens` counts the prompts of own attempts without a
    first token; `residence_s` is the smoothed duration of an attempt;
    `error_ms` is the smoothed excess of first-token times over predictions.
    """

    __slots__ = (
        '_correction',
        '_error_at',
        '_events',
        '_others_deviation',
        '_others_mean',
        '_settings',
        'error_ms',
        'in_flight',
        'made_at',
        'pending_prefill_tokens',
        'polled_at',
        'report',
        'residence_s',
    )

    def __init__(self, settings: RouterSettings) -> None:
        """Create the load of an upstream without a report."""
        self.report: LoadReport | None = None
        self.made_at = float('-inf')
        self.polled_at = float('-inf')
        self.in_flight = 0
        self.pending_prefill_tokens = 0
        self.residence_s = settings.default_residence_s
        self.error_ms = 0.0
        self._error_at = 0.0
        self._correction = 0
        self._others_mean = 0.0
        self._others_deviation = 0.0
        self._events: deque[tuple[float, int]] = deque()
        self._settings = settings

    @property
    def slots(self) -> int:
        """The number of requests in one batch of the upstream."""
        if self.report is None:
            return self._settings.default_slots
        return max(1, self.report.slots)

    def observe(self, report: LoadReport, now: float) -> bool:
        """Take a report; return False for one older than the last."""
        made_at = now - report.age_ms / _MS_PER_S
        known = self.report
        if known and known.boot_id == report.boot_id and made_at < self.made_at:
            return False
        self.report = report
        self.made_at = made_at
        while self._events and self._events[0][0] <= made_at:
            self._correction -= self._events.popleft()[1]
        self._learn_others(report, is_first=known is None)
        return True

    def start(self, now: float, prefill_tokens: int) -> None:
        """Count an attempt that starts."""
        self.in_flight += 1
        self.pending_prefill_tokens += prefill_tokens
        self._add_event(now, 1)

    def end(self, now: float, started_at: float) -> None:
        """Stop counting an attempt."""
        self.in_flight -= 1
        self._add_event(now, -1)
        duration_s = now - started_at
        self.residence_s += _SMOOTHING * (duration_s - self.residence_s)

    def learn(self, now: float, predicted_ms: float, seen_ms: float) -> None:
        """Learn from a first token how wrong the prediction was."""
        known_ms = self._faded_error_ms(now)
        excess_ms = seen_ms - predicted_ms + known_ms
        self.error_ms = known_ms + _SMOOTHING * (excess_ms - known_ms)
        self._error_at = now

    def estimated_requests(self, now: float) -> int:
        """Return the believed number of requests, waiting ones included."""
        if self.report is None or self._is_stale(now):
            return self.in_flight
        age_s = max(0, now - self.made_at)
        memory = math.exp(-age_s / max(_LEAST_RESIDENCE_S, self.residence_s))
        others = self._others_mean + self._others_deviation * memory
        return self.in_flight + round(others)

    def wait_ms(self, now: float) -> float:
        """Return the believed wait for a place in the batch."""
        excess = self.estimated_requests(now) + 1 - self.slots
        if excess <= 0:
            return 0
        return excess * self.residence_s * _MS_PER_S / self.slots

    def prompt_ms(self, tokens: int) -> float:
        """Return the time to read a prompt."""
        per_second = self._settings.default_prefill_tokens_per_second
        if self.report and self.report.prefill_tokens_per_second > 0:
            per_second = self.report.prefill_tokens_per_second
        return tokens * _MS_PER_S / per_second

    def prefill_ms(self, tokens: int) -> float:
        """Return the time to read a prompt after those already sent."""
        return self.prompt_ms(self.pending_prefill_tokens + tokens)

    def idle_step_ms(self) -> float:
        """Return the time of one decode step of a small batch."""
        if self.report is None:
            return self._settings.default_decode_step_ms
        return self.report.decode_step_ms

    def step_ms(self, now: float) -> float:
        """Return the time of one decode step, which grows with the batch."""
        filled = min(1, self.estimated_requests(now) / self.slots)
        return self.idle_step_ms() * (1 + filled)

    def correction_ms(self, now: float) -> float:
        """Return what first tokens have lately taken beyond predictions."""
        return max(0, self._faded_error_ms(now))

    def _learn_others(self, report: LoadReport, *, is_first: bool) -> None:
        """Split a report into the part of others and its mean."""
        own = self.in_flight - self._correction
        others = max(0, report.running + report.waiting - own)
        if is_first:
            self._others_mean = others
        self._others_mean += _SMOOTHING * (others - self._others_mean)
        self._others_deviation = others - self._others_mean

    def _faded_error_ms(self, now: float) -> float:
        age_s = max(0, now - self._error_at)
        return self.error_ms * _ERROR_MEMORY_S / (_ERROR_MEMORY_S + age_s)

    def _is_stale(self, now: float) -> bool:
        return now - self.made_at > self._settings.report_max_age_s

    def _add_event(self, now: float, change: int) -> None:
        self._events.append((now, change))
        self._correction += change
        if len(self._events) > _MAX_EVENTS:
            self._correction -= self._events.popleft()[1]
