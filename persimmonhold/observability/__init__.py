"""Metrics and logs."""

from persimmonhold.observability import _metric_table as metric
from persimmonhold.observability._burst_sampler import BurstSampler
from persimmonhold.observability._line_writer import LineWriter
from persimmonhold.observability._log import (
    STANDARD_OUTPUT,
    LogOutput,
    log_event,
)
from persimmonhold.observability._log_level import LogLevel
from persimmonhold.observability._metric_kind import MetricKind
from persimmonhold.observability._metric_spec import MetricSpec
from persimmonhold.observability._metrics import Metrics

__all__ = (
    'STANDARD_OUTPUT',
    'BurstSampler',
    'LineWriter',
    'LogLevel',
    'LogOutput',
    'MetricKind',
    'MetricSpec',
    'Metrics',
    'log_event',
    'metric',
)
