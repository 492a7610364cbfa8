"""The parameters of the router."""

from typing import final

import msgspec


@final
class RouterSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Latency estimates, ejection thresholds, and limits of subsets and polls.

    - The `default_` values are assumed for an upstream without a load report;
      `residence` is the duration of an attempt at the upstream. A report older
      than `report_max_age_s` is not used to estimate the load.
    - `cross_domain_latency_ms` and `old_version_penalty_ms` are added to the
      predicted first-token time at an upstream in another failure domain, or
      with another version than the catalogue's.
    - A prefix cache is tracked in blocks of `prefix_block_tokens` tokens.
    - An upstream is ejected after `ejection_failures` consecutive failures,
      or if first tokens take `ejection_slow_ratio` times as long as predicted
      on average and `ejection_slow_excess_ms` longer. The pauses after an
      ejection or a refused connection begin with the `_pause_s` and double up
      to the `_max_pause_s`; then `probe_successes` probes have to succeed.
    - A recovered upstream is warmed up for `warm_up_s`, beginning at the
      fraction `warm_up_floor` of its usual load.
    - An entry uses at least `min_subset_endpoints` endpoints of a target, and
      one for each `subset_requests_per_endpoint` of its peak of requests in
      flight, which halves every `demand_half_life_s`.
    - A replica of a plain service in the entry's failure domain is preferred
      below `local_service_max_in_flight` requests of this entry.
    - An upstream is polled at most once per `poll_interval_s`. A poll counts
      `poll_size_bytes` towards the limit of `poll_bytes_per_second`.
    """

    cross_domain_latency_ms: float = 1.0
    old_version_penalty_ms: float = 20.0
    default_residence_s: float = 2.0
    default_slots: int = 16
    default_prefill_tokens_per_second: float = 8000.0
    default_decode_step_ms: float = 20.0
    prefix_block_tokens: int = 64
    prefix_blocks_per_upstream: int = 2048
    ejection_failures: int = 5
    ejection_slow_ratio: float = 4.0
    ejection_slow_excess_ms: float = 500.0
    ejection_pause_s: float = 5.0
    ejection_max_pause_s: float = 60.0
    max_ejected_fraction: float = 0.5
    probe_successes: int = 3
    unreachable_pause_s: float = 1.0
    unreachable_max_pause_s: float = 30.0
    warm_up_s: float = 10.0
    warm_up_floor: float = 0.1
    report_max_age_s: float = 10.0
    min_subset_endpoints: int = 4
    subset_requests_per_endpoint: float = 4.0
    demand_half_life_s: float = 30.0
    local_service_max_in_flight: int = 4
    poll_interval_s: float = 0.25
    poll_size_bytes: float = 700.0
    poll_bytes_per_second: float = 4000.0
