"""Counts admitted requests and enforces the limits in the catalogue.

A limit of a model or owner applies to all entries together; each entry
enforces an equal share of it, rounded up. A caller uses one entry, which
enforces the whole limit of that caller. Requests are counted from admission
to their end.

Invariant: counts are kept only for admitted requests, and rate buckets only
for targets of the catalogue.
"""

import math
from collections import Counter
from typing import Final, TypeAlias, TypeVar, final

from persimmonhold.admission._admission_request import AdmissionRequest
from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._token_bucket import TokenBucket
from persimmonhold.catalogue import ServiceClass
from persimmonhold.failures import RefusalReason

_CallerKey: TypeAlias = tuple[str, str]
_KeyT = TypeVar('_KeyT')
# Weight of the newest sample in the exponential average of durations.
_SMOOTHING_FACTOR: Final = 0.1
# Assumed duration of a request while no request of its class has ended.
_DEFAULT_DURATION_S: Final = 1.0
# A request consumes one token, so a bucket with a lower burst would never
# permit a request.
_MIN_BURST: Final = 1.0


@final
class LimitUsage:
    """Counts admitted requests and enforces the limits on them.

    Counts are kept by target, owner, caller and service class.

    `entry_count` is the number of entries that share the limits.
    """

    __slots__ = (
        '_rate_buckets',
        '_caller_counts',
        '_durations_s',
        '_owner_counts',
        '_settings',
        '_target_counts',
        'class_counts',
        'entry_count',
    )

    def __init__(self, settings: DispatcherSettings) -> None:
        """Create counts of zero."""
        self.entry_count = 1
        self.class_counts = dict.fromkeys(ServiceClass, 0)
        self._target_counts: Counter[str] = Counter()
        self._owner_counts: Counter[str] = Counter()
        self._caller_counts: Counter[_CallerKey] = Counter()
        self._rate_buckets: dict[str, TokenBucket] = {}
        self._durations_s: dict[ServiceClass, float] = {}
        self._settings = settings

    def check_limits_and_consume_rate(
        self, request: AdmissionRequest, now: float
    ) -> RefusalReason | None:
        """Return the refusal reason for the limit that a request exceeds.

        Returns None if every limit permits the request; then one request has
        been consumed from the rate limit of its target.
        """
        limits = request.limits
        caller = (request.target, request.caller)
        checks = (
            (
                RefusalReason.caller_limit,
                limits.caller_concurrent_requests,
                self._caller_counts[caller],
            ),
            (
                RefusalReason.model_limit,
                self._entry_share(limits.concurrent_requests),
                self._target_counts[request.target],
            ),
            (
                RefusalReason.owner_limit,
                self._entry_share(limits.owner_concurrent_requests),
                self._owner_counts[request.owner],
            ),
            (
                RefusalReason.class_limit,
                self._settings.class_concurrent_requests,
                self.class_counts[request.service_class],
            ),
        )
        for reason, limit, used in checks:
            if limit and used >= limit:
                return reason
        if self._try_consume_rate(request, now):
            return None
        return RefusalReason.model_limit

    def retry_after_s(self, request: AdmissionRequest, now: float) -> float:
        """Return after how many seconds a request over a limit may fit.

        This is the wait for the request rate of the target if that is
        exhausted, else the smoothed duration of a request of its class.
        """
        bucket = self._rate_buckets.get(request.target)
        wait_s = bucket.wait_s(now) if bucket else 0
        if wait_s > 0:
            return wait_s
        return self.smoothed_duration_s(request.service_class)

    def smoothed_duration_s(self, service_class: ServiceClass) -> float:
        """Return the smoothed time from admission to the end of a request.

        Returns `_DEFAULT_DURATION_S` before any request of the class ended.
        """
        return self._durations_s.get(service_class, _DEFAULT_DURATION_S)

    def add_request(self, request: AdmissionRequest) -> None:
        """Count an admitted request."""
        self._target_counts[request.target] += 1
        self._owner_counts[request.owner] += 1
        self._caller_counts[request.target, request.caller] += 1
        self.class_counts[request.service_class] += 1

    def remove_request(
        self, request: AdmissionRequest, duration_s: float
    ) -> None:
        """Stop counting a request that ended `duration_s` after admission."""
        _decrement(self._target_counts, request.target)
        _decrement(self._owner_counts, request.owner)
        _decrement(self._caller_counts, (request.target, request.caller))
        self.class_counts[request.service_class] -= 1
        known_s = self._durations_s.get(request.service_class, duration_s)
        smoothed_s = known_s + _SMOOTHING_FACTOR * (duration_s - known_s)
        self._durations_s[request.service_class] = smoothed_s

    def retain_targets(self, targets: frozenset[str]) -> None:
        """Drop the rate buckets of targets no longer in the catalogue."""
        self._rate_buckets = {
            target: bucket
            for target, bucket in self._rate_buckets.items()
            if target in targets
        }

    def _entry_share(self, limit: int) -> int:
        """Return this entry's share of a limit for all entries together."""
        return math.ceil(limit / self.entry_count)

    def _try_consume_rate(self, request: AdmissionRequest, now: float) -> bool:
        """Consume one request from the target's rate; False if exhausted."""
        rate = request.limits.requests_per_second / self.entry_count
        if not rate:
            return True
        burst = max(_MIN_BURST, rate)
        bucket = self._rate_buckets.get(request.target)
        if bucket is None:
            bucket = TokenBucket(rate, burst, now)
            self._rate_buckets[request.target] = bucket
        bucket.update_rate(rate, burst, now)
        return bucket.try_consume(now)


def _decrement(counter: Counter[_KeyT], key: _KeyT) -> None:
    counter[key] -= 1
    if not counter[key]:
        counter.pop(key)
