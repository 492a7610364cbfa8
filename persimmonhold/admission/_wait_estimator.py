"""How long a request may wait, and how long it is expected to.

An interactive request may wait for as long as its first token can still
come in time, with a share of that time left for the wait at the upstream;
any other for as long as it can still end by its deadline.
Where no upstream serves the target, a request may wait for a load that is
under way, within its deadline and a bound.
"""

from typing import Final, final

from persimmonhold.admission._attempt_controller import build_route_request
from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._pending_request import PendingRequest
from persimmonhold.admission._request_queues import RequestQueues
from persimmonhold.admission._target_statistics import TargetStatistics
from persimmonhold.catalogue import ServiceClass
from persimmonhold.routing import Router

_MS_PER_S: Final = 1000
_MIN_WAIT_SHARE: Final = 0.25


@final
class WaitEstimator:
    """What is learned about targets, and what follows for requests."""

    __slots__ = ('_statistics', '_queues', '_router', '_settings')

    def __init__(
        self,
        router: Router,
        queues: RequestQueues,
        settings: DispatcherSettings,
    ) -> None:
        """Create a forecast without experience."""
        self._router = router
        self._queues = queues
        self._settings = settings
        self._statistics: dict[str, TargetStatistics] = {}

    def statistics_for(self, target: str) -> TargetStatistics:
        """Return what is learned about a target."""
        statistics = self._statistics.get(target)
        if statistics is None:
            statistics = TargetStatistics(self._router.interval_s(target))
            self._statistics[target] = statistics
        return statistics

    def retain_targets(self, targets: frozenset[str]) -> None:
        """Forget targets that are no longer catalogued."""
        self._statistics = {
            target: statistics
            for target, statistics in self._statistics.items()
            if target in targets
        }

    def expected_wait_s(self, pending: PendingRequest, now: float) -> float:
        """Return the expected wait of a request that joins its queue."""
        ahead = self._queues.estimate_requests_ahead(pending)
        target = pending.request.target
        guess_s = self._router.interval_s(target)
        return (ahead + 1) * self.statistics_for(target).decayed_interval_s(
            now, guess_s
        )

    def min_retry_after_s(self, pending: PendingRequest, now: float) -> float:
        """Return after how long the queue would be short enough."""
        if not self._router.has_site(pending.request.target, now):
            return self._settings.absent_hold_s
        permitted_s = pending.expires_at - pending.queued_at
        return max(0, self.expected_wait_s(pending, now) - permitted_s)

    def expected_service_s(self, pending: PendingRequest, now: float) -> float:
        """Return the expected time from dispatch to the end."""
        request = pending.request
        known_s = self.statistics_for(request.target).decayed_service_s(now)
        routing_request = build_route_request(pending, frozenset())
        least_s = self._router.first_token_s(routing_request)
        if request.service_class is ServiceClass.interactive:
            return least_s
        return max(least_s, known_s)

    def update_expiry(self, pending: PendingRequest, now: float) -> float:
        """Return until when a request may wait, and note since when held."""
        request = pending.request
        latest = max(
            now, request.deadline - self.expected_service_s(pending, now)
        )
        if not self._router.has_site(request.target, now):
            held_since = (
                now if pending.held_since is None else pending.held_since
            )
            pending.held_since = held_since
            return min(latest, held_since + self._hold_s(request.target))
        pending.held_since = None
        if pending.is_batch or pending.delivered_tokens:
            return latest
        if request.service_class is ServiceClass.interactive:
            return min(latest, now + self._max_queue_wait_s(pending, now))
        return latest

    def _hold_s(self, target: str) -> float:
        if self._router.is_loading(target):
            return self._settings.loading_hold_s
        return self._settings.absent_hold_s

    def _max_queue_wait_s(self, pending: PendingRequest, now: float) -> float:
        bound_s = pending.request.bounds.first_token_ms / _MS_PER_S
        left_s = bound_s - self.expected_service_s(pending, now)
        queue_wait_s = left_s * (1 - self._settings.upstream_wait_share)
        return max(queue_wait_s, bound_s * _MIN_WAIT_SHARE)
