"""The metrics and the log line of one request."""

import asyncio
from typing import Final, final

from persimmonhold.entry._attempt_runner import AttemptRunner
from persimmonhold.entry._parsed_request import ParsedRequest
from persimmonhold.observability import Metrics, log_event, metric
from persimmonhold.routing import Route

_MS_PER_S: Final = 1000


@final
class RequestReport:
    """Collects the times of a request and reports them once, at its end.

    Bodies, credentials and idempotency keys are never reported.
    """

    __slots__ = (
        '_first_byte_at',
        '_longest_gap_s',
        '_metrics',
        '_started_at',
        '_admission_request',
    )

    def __init__(self, metrics: Metrics, request: ParsedRequest) -> None:
        """Create the report of a request that has arrived now."""
        self._metrics = metrics
        self._admission_request = request.admission_request
        self._started_at = _now()
        self._first_byte_at = 0.0
        self._longest_gap_s = 0.0

    def add_attempt(self, attempt: AttemptRunner) -> None:
        """Add the times of an attempt that has ended."""
        self._first_byte_at = self._first_byte_at or attempt.first_byte_at
        self._longest_gap_s = max(self._longest_gap_s, attempt.longest_gap_s)

    def record_end(
        self, outcome: str, attempts: int, route: Route | None
    ) -> None:
        """Update the metrics and log the end of the request."""
        service_class = self._admission_request.service_class.value
        self._metrics.increment(
            metric.REQUESTS,
            service_class=service_class,
            outcome=outcome,
        )
        self._observe_latencies(service_class)
        log_event(
            'request',
            request_id=self._admission_request.request_id,
            service_class=service_class,
            target=self._admission_request.target,
            upstream=route.upstream if route else '',
            reason=route.explanation if route else '',
            attempts=attempts,
            outcome=outcome,
            first_byte_ms=self._elapsed_ms(self._first_byte_at),
            total_ms=self._elapsed_ms(_now()),
        )

    def _observe_latencies(self, service_class: str) -> None:
        if self._first_byte_at:
            self._metrics.observe(
                metric.FIRST_TOKEN,
                self._first_byte_at - self._started_at,
                service_class=service_class,
            )
        if self._longest_gap_s:
            self._metrics.observe(
                metric.TOKEN_GAP,
                self._longest_gap_s,
                service_class=service_class,
            )

    def _elapsed_ms(self, time_s: float) -> float:
        return round(max(0.0, time_s - self._started_at) * _MS_PER_S, 3)


def _now() -> float:
    return asyncio.get_running_loop().time()
