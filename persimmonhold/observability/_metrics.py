"""The metrics of one process, by aioprometheus.

Invariant: only metrics of the metric table can be written.
"""

import time
from typing import Final, final

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from persimmonhold.observability._metric_kind import MetricKind
from persimmonhold.observability._metric_spec import MetricSpec
from persimmonhold.observability._metric_table import (
    METRIC_TABLE,
    PROCESS_CPU,
)

# Upper bounds; 0.069 and 0.55 are the default bounds of a service class on a
# token gap and on the time to the first token.
_BUCKETS_S: Final = (
    0.01,
    0.025,
    0.05,
    0.069,
    0.1,
    0.2,
    0.55,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    float('inf'),
)


@final
class Metrics:
    """Counters, gauges and histograms of the metric table."""

    __slots__ = ('_counters', '_gauges', '_histograms', '_registry')

    def __init__(self) -> None:
        """Create every metric of the table."""
        self._registry = Registry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}
        for spec in METRIC_TABLE:
            self._create_metric(spec)

    def increment(
        self,
        spec: MetricSpec,
        amount: float = 1,
        **labels: str,
    ) -> None:
        """Add `amount` to the counter with these labels."""
        self._counters[spec.name].add(labels, amount)

    def set_gauge(
        self,
        spec: MetricSpec,
        amount: float,
        **labels: str,
    ) -> None:
        """Set the gauge with these labels to `amount`."""
        self._gauges[spec.name].set(labels, amount)

    def observe(
        self,
        spec: MetricSpec,
        seconds: float,
        **labels: str,
    ) -> None:
        """Add a duration to the histogram with these labels."""
        self._histograms[spec.name].observe(labels, float(seconds))

    def counter_value(self, spec: MetricSpec, **labels: str) -> float:
        """Return the value of a counter; 0 if it was never incremented."""
        try:
            return float(self._counters[spec.name].get(labels))
        except KeyError:
            return 0

    def render(self, accepts: str) -> tuple[bytes, str]:
        """Return the encoded metrics and their media type.

        The format follows `accepts`, the `accept` header of the request; the
        processor time is read first.
        """
        self.set_gauge(PROCESS_CPU, time.process_time())
        body, headers = render(self._registry, [accepts or 'text/plain'])
        return body, headers['Content-Type']

    def _create_metric(self, spec: MetricSpec) -> None:
        if spec.kind is MetricKind.counter:
            self._counters[spec.name] = Counter(
                spec.name,
                spec.help_text,
                registry=self._registry,
            )
        elif spec.kind is MetricKind.gauge:
            self._gauges[spec.name] = Gauge(
                spec.name,
                spec.help_text,
                registry=self._registry,
            )
        else:
            self._histograms[spec.name] = Histogram(
                spec.name,
                spec.help_text,
                registry=self._registry,
                buckets=_BUCKETS_S,
            )
