"""The kinds of metrics."""

import enum
from typing import final


@final
@enum.unique
class MetricKind(enum.StrEnum):
    """The Prometheus metric types in use."""

    counter = 'counter'
    gauge = 'gauge'
    histogram = 'histogram'
