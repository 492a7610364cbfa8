"""The declaration of a metric."""

from typing import final

import msgspec

from persimmonhold.observability._metric_kind import MetricKind


@final
class MetricSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The declaration of a metric; its name states any unit."""

    name: str
    kind: MetricKind
    help_text: str
    labels: tuple[str, ...] = ()
