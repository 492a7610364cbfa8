"""The request limits of all upstreams, and the permits for requests to them.

A limit holds for all entries together, so one VM issues the permits. Invariant:
in any window, the permits for an upstream are at most its limit times the
window, plus the content of a full `PermitBucket`.
"""

from collections.abc import Iterable
from typing import TypeAlias, final

from persimmonhold.fleet._fleet_messages import (
    PermitReply,
    PermitRequest,
    StatedLimit,
)
from persimmonhold.fleet._limit_observation import LimitObservation
from persimmonhold.fleet._permit_bucket import PermitBucket

ProcessKey: TypeAlias = tuple[str, int]


@final
class RequestLimits:
    """The newest observation of each limit, and its bucket of permits.

    Both are keyed by the name and the start time of a process: a restarted
    upstream has no limit until it states one.
    """

    __slots__ = ('buckets', 'observations')

    def __init__(self) -> None:
        """Create limits without any upstream."""
        self.observations: dict[ProcessKey, LimitObservation] = {}
        self.buckets: dict[ProcessKey, PermitBucket] = {}

    def record_stated(
        self, limits: Iterable[StatedLimit], now: float
    ) -> tuple[StatedLimit, ...]:
        """Record what an entry observed; return the limits that changed."""
        return tuple(
            one
            for one in limits
            if self._record_observation(
                one.process_key, one.to_observation(now)
            )
        )

    def find_limit(self, process: ProcessKey) -> float | None:
        """Return the limit in requests a second, or None."""
        known = self.observations.get(process)
        return None if known is None else known.per_s

    def answer_request(self, request: PermitRequest, now: float) -> PermitReply:
        """Issue the permit that an entry requests, or tell how long to wait.

        A limit that was not known here is taken from the request.
        """
        process = request.limit.process_key
        if process not in self.observations:
            self.record_stated((request.limit,), now)
        return PermitReply(
            request_id=request.request_id,
            wait_s=self._try_issue_permit(process, now),
        )

    def retain_upstreams(self, names: Iterable[str]) -> None:
        """Drop the limits of all other upstreams."""
        kept = set(names)
        for process in tuple(self.observations):
            if process[0] not in kept:
                self.observations.pop(process)
                self.buckets.pop(process, None)

    def _record_observation(
        self, process: ProcessKey, observed: LimitObservation
    ) -> bool:
        """Record an observation; tell whether the limit in force changed."""
        known = self.observations.get(process)
        if known is None:
            if observed.per_s is None:
                return False
        elif not observed.supersedes(known):
            return False
        before = self.find_limit(process)
        self.observations[process] = observed
        return observed.per_s != before

    def _try_issue_permit(self, process: ProcessKey, now: float) -> float:
        """Issue a permit; return 0, or the seconds until one can be issued."""
        limit_per_s = self.find_limit(process)
        if limit_per_s is None:
            return 0
        bucket = self.buckets.setdefault(process, PermitBucket(now))
        return bucket.try_take(limit_per_s, now)
