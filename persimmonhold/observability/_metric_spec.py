"""The declaration of a metric."""

from typing import final

import msgspec

from persimmonhold.observability._metric_kind import MetricKind


@final
class MetricSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Name, meaning and labels of a metric; units are in the name."""

    name: str
    kind: MetricKind
    doc: str
    labels: tuple[str, ...] = ()
