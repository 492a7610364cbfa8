"""Planner input about one engine."""

from typing import final

import msgspec


@final
class EngineStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Availability and speed of an engine.

    The planner counts the copies of an engine only while it `is_alive` and
    plans new copies there only while it `takes_loads`. The rates are those of
    one accelerator with all its request slots in use; the defaults apply until
    the engine has reported its own.
    """

    name: str
    is_alive: bool = True
    takes_loads: bool = True
    prefill_tokens_per_second: float = 8000
    decode_tokens_per_second: float = 400
