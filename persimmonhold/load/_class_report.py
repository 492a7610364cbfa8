"""Counts and latencies of the requests of one kind in a load run."""

from typing import Final, final

import msgspec
from hdrh.histogram import HdrHistogram

from persimmonhold.catalogue import Bounds
from persimmonhold.load._attainment import is_attained
from persimmonhold.load._request_kind import RequestKind
from persimmonhold.load._request_outcome import RequestOutcome

_MAX_MS: Final = 3_600_000
_SIGNIFICANT_DIGITS: Final = 3
_MS_PER_S: Final = 1000
_P50: Final = 50
_P95: Final = 95
_P99: Final = 99


@final
class ClassReport(msgspec.Struct, frozen=True, kw_only=True):
    """Counts and latency percentiles of the requests of one kind.

    `offered` counts the requests that were due, and `attained` those that met
    all their bounds. Latencies are those of complete responses only.
    First-token and total times are measured from the time at which a request
    was due, so that a delayed sender does not hide waiting time.
    """

    kind: RequestKind
    offered: int
    answered: int
    attained: int
    first_p50_ms: float
    first_p95_ms: float
    first_p99_ms: float
    gap_p95_ms: float
    total_p95_ms: float

    @property
    def attainment(self) -> float:
        """The fraction of offered requests that met their bounds, or 1 if
        no request was offered.
        """
        return self.attained / self.offered if self.offered else 1


def build_class_report(
    kind: RequestKind,
    outcomes: list[RequestOutcome],
    bounds: Bounds,
) -> ClassReport:
    """Build the report of one kind from the outcomes of all its requests."""
    complete = [outcome for outcome in outcomes if outcome.is_complete]
    first = _build_histogram([outcome.first_token_s for outcome in complete])
    gaps = _build_histogram([outcome.gap_p95_s for outcome in complete])
    totals = _build_histogram([outcome.total_s for outcome in complete])
    return ClassReport(
        kind=kind,
        offered=len(outcomes),
        answered=len(complete),
        attained=sum(is_attained(outcome, bounds) for outcome in outcomes),
        first_p50_ms=first.get_value_at_percentile(_P50),
        first_p95_ms=first.get_value_at_percentile(_P95),
        first_p99_ms=first.get_value_at_percentile(_P99),
        gap_p95_ms=gaps.get_value_at_percentile(_P95),
        total_p95_ms=totals.get_value_at_percentile(_P95),
    )


def _build_histogram(seconds: list[float]) -> HdrHistogram:
    """Return a histogram in ms of durations in seconds; 0 counts as 1 ms."""
    histogram = HdrHistogram(1, _MAX_MS, _SIGNIFICANT_DIGITS)
    for duration_s in seconds:
        histogram.record_value(max(1, round(duration_s * _MS_PER_S)))
    return histogram
