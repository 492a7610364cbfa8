"""The command that records the VM of the fleet controller."""

from typing import final

import msgspec


@final
class RecordFleetController(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='record_order_giver',
):
    """Names the only VM that may issue orders from this log index on.

    It is committed before the first order of that VM.
    """

    at_ms: int
    vm: str
