"""The limits agreed in the catalogue, and how much of them is used.

A limit of a model or owner holds over all entries, and each entry enforces
its equal share of it, rounded up. A caller keeps to one entry, which
enforces the whole limit of that caller. Requests count from their admission
to their end.

Invariant: counts are kept only for admitted requests, and buckets only for
targets of the catalogue.
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
_SMOOTHING: Final = 0.1
_DEFAULT_DURATION_S: Final = 1.0
_MIN_BURST: Final = 1.0


@final
class Usage:
    """Admitted requests by target, owner, caller and class.

    `entries` is the number of entries that share the limits.
    """

    __slots__ = (
        '_buckets',
        '_callers',
        '_durations_s',
        '_owners',
        '_settings',
        '_targets',
        'classes',
        'entries',
    )

    def __init__(self, settings: DispatcherSettings) -> None:
        """Create the usage of an idle entry."""
        self.entries = 1
        self.classes = dict.fromkeys(ServiceClass, 0)
        self._targets: Counter[str] = Counter()
        self._owners: Counter[str] = Counter()
        self._callers: Counter[_CallerKey] = Counter()
        self._buckets: dict[str, TokenBucket] = {}
        self._durations_s: dict[ServiceClass, float] = {}
        self._settings = settings

    def exceeded(
        self, request: AdmissionRequest, now: float
    ) -> RefusalReason | None:
        """Return the limit that forbids a request, or None.

        Takes from the rate of the target only where all else permits.
        """
        limits = request.limits
        caller = (request.target, request.caller)
        checks = (
            (
                RefusalReason.caller_limit,
                limits.caller_concurrent_requests,
                self._callers[caller],
            ),
            (
                RefusalReason.model_limit,
                self._share(limits.concurrent_requests),
                self._targets[request.target],
            ),
            (
                RefusalReason.owner_limit,
                self._share(limits.owner_concurrent_requests),
                self._owners[request.owner],
            ),
            (
                RefusalReason.class_limit,
                self._settings.class_concurrent_requests,
                self.classes[request.service_class],
            ),
        )
        for reason, limit, used in checks:
            if limit and used >= limit:
                return reason
        if self._takes_rate(request, now):
            return None
        return RefusalReason.model_limit

    def retry_after_s(self, request: AdmissionRequest, now: float) -> float:
        """Return when a request over a limit may fit."""
        bucket = self._buckets.get(request.target)
        wait_s = bucket.wait_s(now) if bucket else 0
        if wait_s > 0:
            return wait_s
        return self.duration_s(request.service_class)

    def duration_s(self, service_class: ServiceClass) -> float:
        """Return the smoothed time from admission to end."""
        return self._durations_s.get(service_class, _DEFAULT_DURATION_S)

    def add(self, request: AdmissionRequest) -> None:
        """Count an admitted request."""
        self._targets[request.target] += 1
        self._owners[request.owner] += 1
        self._callers[request.target, request.caller] += 1
        self.classes[request.service_class] += 1

    def remove(self, request: AdmissionRequest, duration_s: float) -> None:
        """Stop counting a request that has ended."""
        _decrement(self._targets, request.target)
        _decrement(self._owners, request.owner)
        _decrement(self._callers, (request.target, request.caller))
        self.classes[request.service_class] -= 1
        known_s = self._durations_s.get(request.service_class, duration_s)
        smoothed_s = known_s + _SMOOTHING * (duration_s - known_s)
        self._durations_s[request.service_class] = smoothed_s

    def keep_targets(self, targets: frozenset[str]) -> None:
        """Forget the rates of targets that are no longer catalogued."""
        self._buckets = {
            target: bucket
            for target, bucket in self._buckets.items()
            if target in targets
        }

    def _share(self, limit: int) -> int:
        return math.ceil(limit / self.entries)

    def _takes_rate(self, request: AdmissionRequest, now: float) -> bool:
        rate = request.limits.requests_per_second / self.entries
        if not rate:
            return True
        burst = max(_MIN_BURST, rate)
        bucket = self._buckets.get(request.target)
        if bucket is None:
            bucket = TokenBucket(rate, burst, now)
            self._buckets[request.target] = bucket
        bucket.go_on_at(rate, burst, now)
        return bucket.take(now)


def _decrement(counter: Counter[_KeyT], key: _KeyT) -> None:
    counter[key] -= 1
    if not counter[key]:
        counter.pop(key)
