"""The parameters of a load run."""

from typing import final

import msgspec

from persimmonhold.catalogue import Bounds


@final
class RunParameters(msgspec.Struct, frozen=True, kw_only=True):
    """What a load run sends, and the bounds that it checks.

    `rate_per_s` is the mean rate of arrivals; `bounds` apply to streams.
    """

    deployment: str
    seed: int
    rate_per_s: float
    duration_s: float
    bounds: Bounds
