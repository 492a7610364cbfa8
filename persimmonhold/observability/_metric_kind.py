"""The kinds of metrics."""

import enum
from typing import final


@final
@enum.unique
class MetricKind(enum.StrEnum):
    """Kinds of metrics in the sense of Prometheus."""

    counter = 'counter'
    gauge = 'gauge'
    histogram = 'histogram'
