"""Exports the counters of the agent and the transport as metrics."""

from typing import TYPE_CHECKING, final

from persimmonhold.membership import VmAgent
from persimmonhold.observability import Metrics, MetricSpec, metric
from persimmonhold.transport import Channel, TrafficCounters

if TYPE_CHECKING:
    from persimmonhold.replication import ReplicaStatus


@final
class ControlMetrics:
    """Adds to each metric the increase of its counter since the last update."""

    __slots__ = ('_last_totals', '_metrics')

    def __init__(self, metrics: Metrics) -> None:
        """Create an updater of `metrics`."""
        self._metrics = metrics
        self._last_totals: dict[tuple[str, ...], int] = {}

    def update(self, agent: VmAgent, counts: TrafficCounters) -> None:
        """Set the catalogue revision and add the increase of each counter."""
        revision = agent.view.catalogue.revision
        self._metrics.set_gauge(metric.CATALOGUE_REVISION, revision)
        self._add_increase(metric.STALE_VIEWS, agent.updater.stale_view_count)
        self._add_increase(metric.DIVERGED_VIEWS, agent.diverged_view_count)
        self._add_increase(metric.DROPPED_MESSAGES, counts.dropped_messages)
        self._add_bytes(counts.sent_bytes_by_channel, 'sent')
        self._add_bytes(counts.received_bytes_by_channel, 'received')

    def update_log(self, status: 'ReplicaStatus') -> None:
        """Set the sizes of the control log of this replica."""
        for part, size_bytes in (
            ('memory', status.log_bytes),
            ('disk', status.log_file_bytes),
            ('snapshot', status.snapshot_bytes),
            ('recovered', status.recovered_bytes),
        ):
            self._metrics.set_gauge(
                metric.CONTROL_LOG_BYTES, size_bytes, part=part
            )

    def _add_bytes(self, totals: dict[Channel, int], direction: str) -> None:
        for channel, total in totals.items():
            self._add_increase(
                metric.CONTROL_BYTES,
                total,
                direction=direction,
                channel=channel.name,
            )

    def _add_increase(
        self, spec: MetricSpec, total: int, **labels: str
    ) -> None:
        key = (spec.name, *labels.values())
        increase = total - self._last_totals.get(key, 0)
        if increase:
            self._last_totals[key] = total
            self._metrics.increment(spec, increase, **labels)
