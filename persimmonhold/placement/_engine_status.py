"""Planner input about one engine."""

from typing import final

import msgspec


@final
class EngineStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Availability and speed of an engine.

    Copies count only while `is_alive`; new copies are planned only while
    `takes_loads`. Rates are per accelerator at full batch.
    """

    name: str
    is_alive: bool = True
    takes_loads: bool = True
    prefill_tokens_per_second: float = 8000
    decode_tokens_per_second: float = 400
