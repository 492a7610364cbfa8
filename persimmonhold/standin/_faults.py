"""The faults that a stand-in can inject."""

from typing import final

import msgspec


@final
class Faults(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """The body of `POST /_standin/fault`; an empty document clears all faults.

    `order_loss` and `cache_event_loss` are probabilities; `seed` seeds the
    draw of lost orders. An accepted order waits for `order_delay_ms`; with
    `ignore_fencing`, stale fencing tokens are accepted. For `freeze_ms` from
    now, requests wait and no batch step begins. A response stream is aborted
    after `drop_after_tokens` tokens; `drop_before_answer` aborts the
    connection after the execution and before the response. Responses are
    delayed by `answer_delay_ms`. Load reports are `load_report_lag_ms` old,
    and `leaving` is reported in them at once.
    """

    seed: int = 0
    order_delay_ms: float = 0
    order_loss: float = 0
    ignore_fencing: bool = False
    cache_event_loss: float = 0
    freeze_ms: float = 0
    drop_after_tokens: int = 0
    drop_before_answer: bool = False
    answer_delay_ms: float = 0
    load_report_lag_ms: float = 0
    leaving: bool = False
