"""The settings of admission."""

from typing import final

import msgspec


@final
class DispatcherSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings by which one entry admits, queues and dispatches requests.

    A `_share` or `_ratio` is a fraction.

    - Each service class may have `queue_requests` waiting requests with
      `queue_tokens` tokens together, and `class_concurrent_requests` admitted
      requests, waiting or running.
    - A queue tracks `max_callers` callers by name and hashes the others into
      `caller_buckets` shared buckets.
    - While no reachable upstream serves its target, a request waits for at
      most `max_wait_while_loading_s` if a copy of the target is loading or
      withdrawing, else for at most `max_wait_while_absent_s`.
    - `batch_reserved_share` of an upstream's slots is not filled with batch
      requests. An urgent request that has to wait pauses batch requests at
      its target's upstreams for `batch_pause_s`.
    - A batch request is aged after `batch_aging_s` in the queue. After every
      `dispatches_per_promotion` other dispatches, an aged batch request is
      promoted, which means that it is dispatched before all others. A request
      that was preempted `max_preemptions` times is not preempted again.
    - `retry_ratio` is the number of retries that a completed request adds to
      the retry budget, `retry_burst` the maximum of that budget.
    - A first token within `limit_first_token_share` of the first-token bound
      is timely. A late first token or a failed attempt multiplies the adaptive
      limit of the upstream by `limit_decrease_factor`, at most once in
      `limit_window_s`.
    - An urgent request may wait for a slot at an upstream for at most
      `upstream_wait_share` of its first-token bound. If it would have to wait
      longer than `preemption_wait_share` of the bound, a batch request is
      preempted. Requests that are queued at an upstream and can start there
      within `tolerated_upstream_wait_s` cause no preemption.
    - All queues are scanned every `scan_interval_s`. The offered load is
      counted in periods of `demand_period_s`. The retry delay suggested when
      an admitted request is refused is at most `retry_after_max_s`, before
      jitter.
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
