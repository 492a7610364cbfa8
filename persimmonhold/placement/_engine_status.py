"""What the planner is told about one engine."""

from typing import final

import msgspec


@final
class EngineStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Availability and speed of an engine.

    `is_alive` counts its copies, `takes_loads` allows new ones. The rates
    are those of one accelerator at full batch, in tokens a second.
    """

    name: str
    is_alive: bool = True
    takes_loads: bool = True
    prefill_tokens_per_second: float = 8000
    decode_tokens_per_second: float = 400
