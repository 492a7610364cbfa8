"""Computes how long a request may wait and how long it is expected to wait.

An interactive request may wait as long as its first token can still arrive
in time, with a share of that time reserved for the wait at the upstream. Any
other request may wait as long as it can still end by its deadline. If no
reachable upstream serves the target, a request waits until an upstream does,
but no longer than its deadline permits and at most `max_wait_while_absent_s`,
or `max_wait_while_loading_s` if a copy of the target is loading or withdrawing.
No request waits so long that a planned stop of the entry would cut its response.
"""

import math
from typing import Final, final

from persimmonhold.admission._attempt_controller import build_route_request
from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._pending_request import PendingRequest
from persimmonhold.admission._request_queues import RequestQueues
from persimmonhold.admission._target_statistics import TargetStatistics
from persimmonhold.catalogue import ServiceClass
from persimmonhold.routing import Router

_MS_PER_S: Final = 1000
# An interactive request may always queue for this share of its first-token
# bound, even if its first token is then expected to be late.
_MIN_WAIT_SHARE: Final = 0.25
# Time that a planned stop leaves for each response at least.
_STOP_RESERVE_S: Final = 1.0


@final
class WaitEstimator:
    """Estimates waits and expiry times from the statistics of targets.

    Responses have to end by `stops_at`, which is infinite unless a stop of the
    entry is planned.
    """

    __slots__ = (
        '_queues',
        '_router',
        '_settings',
        '_statistics',
        'stops_at',
    )

    def __init__(
        self,
        router: Router,
        queues: RequestQueues,
        settings: DispatcherSettings,
    ) -> None:
        """Create an estimator without statistics."""
        self._router = router
        self._queues = queues
        self._settings = settings
        self._statistics: dict[str, TargetStatistics] = {}
        self.stops_at = math.inf

    def statistics_for(self, target: str) -> TargetStatistics:
        """Return the statistics of a target, created on first use."""
        statistics = self._statistics.get(target)
        if statistics is None:
            statistics = TargetStatistics(
                self._router.mean_completion_interval_s(target)
            )
            self._statistics[target] = statistics
        return statistics

    def retain_targets(self, targets: frozenset[str]) -> None:
        """Drop the statistics of targets no longer in the catalogue."""
        self._statistics = {
            target: statistics
            for target, statistics in self._statistics.items()
            if target in targets
        }

    def expected_wait_s(self, pending: PendingRequest, now: float) -> float:
        """Return the expected wait of a request if it is queued now."""
        ahead = self._queues.estimate_requests_ahead(pending)
        interval_s = self.dispatch_interval_s(pending.request.target, now)
        return (ahead + 1) * interval_s

    def dispatch_interval_s(self, target: str, now: float) -> float:
        """Return the expected time between two dispatches for a target."""
        estimate_s = self._router.mean_completion_interval_s(target)
        statistics = self.statistics_for(target)
        return statistics.decayed_dispatch_interval_s(now, estimate_s)

    def min_retry_after_s(self, pending: PendingRequest, now: float) -> float:
        """Return after how many seconds a refused request may be accepted.

        This is the excess of the request's expected wait over the wait that
        it is permitted, or `max_wait_while_absent_s` if no reachable upstream
        serves its target.
        """
        if not self._router.has_reachable_endpoint(pending.request.target, now):
            return self._settings.max_wait_while_absent_s
        permitted_s = pending.expires_at - pending.queued_at
        return max(0, self.expected_wait_s(pending, now) - permitted_s)

    def expected_response_s(self, pending: PendingRequest, now: float) -> float:
        """Return the expected time from dispatch to the end of the answer.

        For an interactive request, returns the expected time from dispatch to
        the first token instead.
        """
        if pending.request.service_class is ServiceClass.interactive:
            return self._first_token_s(pending)
        return self._whole_response_s(pending, now)

    def send_before_stop(self, pending: PendingRequest, now: float) -> float:
        """Return the time until which a planned stop lets a request be sent.

        What is left of a response that has begun is not known, so only the
        least time is reserved for it.
        """
        if math.isinf(self.stops_at):
            return self.stops_at
        expected_s = self._first_token_s(pending)
        if not pending.delivered_tokens:
            expected_s = self._whole_response_s(pending, now)
        return self.stops_at - max(_STOP_RESERVE_S, expected_s)

    def update_expiry(self, pending: PendingRequest, now: float) -> float:
        """Return until when a request may wait.

        Also sets its `unserved_since`, by whether a reachable upstream serves
        its target now, and whether the planned stop limits its wait.
        """
        own = self._expiry_without_stop(pending, now)
        before_stop = self.send_before_stop(pending, now)
        pending.is_limited_by_stop = before_stop < own
        return min(own, before_stop)

    def has_availability_changed(
        self, pending: PendingRequest, now: float
    ) -> bool:
        """Return whether a request's target has lost or gained its upstreams.

        Compares whether any reachable upstream serves the target now with
        whether one did when the request's expiry was last computed.
        """
        has_endpoint = self._router.has_reachable_endpoint(
            pending.request.target, now
        )
        return has_endpoint != (pending.unserved_since is None)

    def _first_token_s(self, pending: PendingRequest) -> float:
        """Return the time to the first token at an idle upstream."""
        return self._router.idle_first_token_s(
            build_route_request(pending, frozenset())
        )

    def _whole_response_s(self, pending: PendingRequest, now: float) -> float:
        statistics = self.statistics_for(pending.request.target)
        known_s = statistics.decayed_attempt_duration_s(now)
        return max(self._first_token_s(pending), known_s)

    def _expiry_without_stop(
        self, pending: PendingRequest, now: float
    ) -> float:
        """Return until when a request may wait unless the entry stops."""
        request = pending.request
        latest = max(
            now, request.deadline - self.expected_response_s(pending, now)
        )
        if not self._router.has_reachable_endpoint(request.target, now):
            unserved_since = (
                now
                if pending.unserved_since is None
                else pending.unserved_since
            )
            pending.unserved_since = unserved_since
            return min(
                latest,
                unserved_since + self._max_wait_for_upstream_s(request.target),
            )
        pending.unserved_since = None
        if pending.is_batch or pending.delivered_tokens:
            return latest
        if request.service_class is ServiceClass.interactive:
            return min(latest, now + self._max_queue_wait_s(pending, now))
        return latest

    def _max_wait_for_upstream_s(self, target: str) -> float:
        """Return how long a request waits while no upstream serves it."""
        if self._router.has_non_serving_copy(target):
            return self._settings.max_wait_while_loading_s
        return self._settings.max_wait_while_absent_s

    def _max_queue_wait_s(self, pending: PendingRequest, now: float) -> float:
        """Return how long an interactive request may wait in the queue."""
        bound_s = pending.request.bounds.first_token_ms / _MS_PER_S
        left_s = bound_s - self.expected_response_s(pending, now)
        queue_wait_s = left_s * (1 - self._settings.upstream_wait_share)
        return max(queue_wait_s, bound_s * _MIN_WAIT_SHARE)
