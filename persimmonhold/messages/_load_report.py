"""The load that an engine reports."""

from typing import final

import msgspec


@final
class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """The response to `GET /load`; the figures are `age_ms` old."""

    boot_id: str
    age_ms: float
    running: int
    waiting: int
    slots: int
    kv_used_fraction: float
    prefill_tokens_per_second: float
    decode_step_ms: float
    leaving: bool = False
