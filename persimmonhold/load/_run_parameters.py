"""The parameters of a load run."""

from typing import final

import msgspec

from persimmonhold.catalogue import Bounds


@final
class RunParameters(msgspec.Struct, frozen=True, kw_only=True):
    """The deployment, seed, mean rate, duration and bounds of a load run."""

    deployment: str
    seed: int
    rate_per_s: float
    duration_s: float
    bounds: Bounds
