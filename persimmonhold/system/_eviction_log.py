"""Counts and logs the evictions of a VM."""

from typing import final

from persimmonhold.observability import (
    BurstSampler,
    Metrics,
    log_event,
    metric,
)
from persimmonhold.system._boot_clock import boot_clock
from persimmonhold.web import EvictionCause, MemoryBudget


@final
class EvictionLog:
    """Records that a connection of a peer was evicted; bursts are sampled."""

    __slots__ = ('_budget', '_metrics', '_sampler')

    def __init__(self, budget: MemoryBudget, metrics: Metrics) -> None:
        """Create the log of a budget."""
        self._budget = budget
        self._metrics = metrics
        self._sampler = BurstSampler()

    def record(self, cause: EvictionCause) -> None:
        """Record one eviction."""
        self._metrics.increment(metric.EVICTIONS, cause=cause.value)
        left_out = self._sampler.admit(cause.value, boot_clock())
        if left_out is not None:
            log_event(
                'peer_evicted',
                cause=cause.value,
                buffered_bytes=self._budget.reserved_bytes,
                connections=self._budget.connection_count,
                left_out=left_out,
            )
