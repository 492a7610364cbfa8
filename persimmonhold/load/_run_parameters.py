"""What a run was asked to do."""

from typing import final

import msgspec

from persimmonhold.catalogue import Bounds


@final
class RunParameters(msgspec.Struct, frozen=True, kw_only=True):
    """What a run was asked to do."""

    deployment: str
    seed: int
    rate_per_s: float
    duration_s: float
    bounds: Bounds
