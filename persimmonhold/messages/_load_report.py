"""How busy an engine says it is."""

from typing import final

import msgspec


@final
class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to `GET /load`; it lags behind what is true."""

    boot_id: str
    age_ms: float
    running: int
    waiting: int
    slots: int
    kv_used_fraction: float
    prefill_tokens_per_second: float
    decode_step_ms: float
    leaving: bool = False
