"""Puts the counts of the agent and the transport into the metrics."""

from typing import final

from persimmonhold.membership import VmAgent
from persimmonhold.observability import Metrics, MetricSpec, metric
from persimmonhold.transport import ByteCounts


@final
class ControlMetrics:
    """Adds what the counts have grown by since the last update."""

    __slots__ = ('_counted', '_metrics')

    def __init__(self, metrics: Metrics) -> None:
        """Create an updater of `metrics`."""
        self._metrics = metrics
        self._counted: dict[tuple[str, ...], int] = {}

    def update(self, agent: VmAgent, counts: ByteCounts) -> None:
        """Take the counts over."""
        revision = agent.view.catalogue.revision
        self._metrics.set_gauge(metric.REVISION, revision)
        self._add(metric.STALE_VIEWS, agent.updater.stale_views)
        self._add(metric.DIVERGED_VIEWS, agent.diverged_views)
        self._add(metric.DROPPED_MESSAGES, counts.dropped)
        self._add(
            metric.CONTROL_BYTES,
            counts.sent_bytes,
            direction='sent',
        )
        self._add(
            metric.CONTROL_BYTES,
            counts.received_bytes,
            direction='received',
        )

    def _add(self, spec: MetricSpec, total: int, **labels: str) -> None:
        key = (spec.name, *labels.values())
        grown = total - self._counted.get(key, 0)
        if grown:
            self._counted[key] = total
            self._metrics.increment(spec, grown, **labels)
