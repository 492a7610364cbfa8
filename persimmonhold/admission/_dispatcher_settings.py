"""The settings of admission."""

from typing import final

import msgspec


@final
class DispatcherSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of queues, limits, waits and budgets.

    `queue_requests` and `queue_tokens` bound each service class. A `_share`
    or `_ratio` is a fraction. `dispatches_per_batch_turn` is the number of
    other dispatches between two dispatches of aged batch requests.
    `tolerated_upstream_wait_s` is the queueing time at an upstream for which
    no batch request is preempted.
    """

    queue_requests: int = 512
    queue_tokens: int = 4_000_000
    class_concurrent_requests: int = 4096
    max_callers: int = 1024
    caller_buckets: int = 64
    max_wait_while_loading_s: float = 10.0
    max_wait_while_absent_s: float = 2.0
    batch_reserved_share: float = 0.1
    batch_pause_s: float = 1.0
    batch_aging_s: float = 20.0
    dispatches_per_promotion: int = 16
    max_preemptions: int = 3
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    limit_decrease_factor: float = 0.7
    limit_first_token_share: float = 0.4
    upstream_wait_share: float = 0.5
    preemption_wait_share: float = 0.3
    tolerated_upstream_wait_s: float = 0.15
    limit_window_s: float = 0.5
    scan_interval_s: float = 0.05
    retry_after_max_s: float = 60.0
    demand_period_s: float = 5.0
