"""How long a request may wait, and how long it is expected to.

An interactive request may wait for as long as its first token can still
come in time, with a share of that time left for the wait at the upstream;
any other for as long as it can still end by its deadline.
Where no upstream serves the target, a request may wait for a load that is
under way, within its deadline and a bound.
"""

from typing import Final, final

from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._launcher import route_request
from persimmonhold.admission._pending import Pending
from persimmonhold.admission._target_record import TargetRecord
from persimmonhold.admission._waiting_room import WaitingRoom
from persimmonhold.catalogue import ServiceClass
from persimmonhold.routing import Router

_MS_PER_S: Final = 1000
_LEAST_PATIENCE: Final = 0.25


@final
class Forecast:
    """What is learned about targets, and what follows for requests."""

    __slots__ = ('_records', '_room', '_router', '_settings')

    def __init__(
        self,
        router: Router,
        room: WaitingRoom,
        settings: DispatcherSettings,
    ) -> None:
        """Create a forecast without experience."""
        self._router = router
        self._room = room
        self._settings = settings
        self._records: dict[str, TargetRecord] = {}

    def record(self, target: str) -> TargetRecord:
        """Return what is learned about a target."""
        found = self._records.get(target)
        if found is None:
            found = TargetRecord(
                self._router.mean_completion_interval_s(target)
            )
            self._records[target] = found
        return found

    def keep(self, targets: frozenset[str]) -> None:
        """Forget targets that are no longer catalogued."""
        self._records = {
            target: record
            for target, record in self._records.items()
            if target in targets
        }

    def wait_s(self, pending: Pending, now: float) -> float:
        """Return the expected wait of a request that joins its queue."""
        ahead = self._room.ahead_of(pending)
        target = pending.request.target
        guess_s = self._router.mean_completion_interval_s(target)
        return (ahead + 1) * self.record(target).interval_at(now, guess_s)

    def return_wait_s(self, pending: Pending, now: float) -> float:
        """Return after how long the queue would be short enough."""
        if not self._router.has_reachable_endpoint(pending.request.target, now):
            return self._settings.absent_hold_s
        permitted_s = pending.expires_at - pending.queued_at
        return max(0, self.wait_s(pending, now) - permitted_s)

    def service_s(self, pending: Pending, now: float) -> float:
        """Return the expected time from dispatch to the end."""
        request = pending.request
        known_s = self.record(request.target).service_at(now)
        routing_request = route_request(pending, frozenset())
        least_s = self._router.idle_first_token_s(routing_request)
        if request.service_class is ServiceClass.interactive:
            return least_s
        return max(least_s, known_s)

    def expires_at(self, pending: Pending, now: float) -> float:
        """Return until when a request may wait, and note since when held."""
        request = pending.request
        latest = max(now, request.deadline - self.service_s(pending, now))
        if not self._router.has_reachable_endpoint(request.target, now):
            held_at = now if pending.held_at is None else pending.held_at
            pending.held_at = held_at
            return min(latest, held_at + self._hold_s(request.target))
        pending.held_at = None
        if pending.is_batch or pending.delivered_tokens:
            return latest
        if request.service_class is ServiceClass.interactive:
            return min(latest, now + self._patience_s(pending, now))
        return latest

    def _hold_s(self, target: str) -> float:
        if self._router.is_loading(target):
            return self._settings.loading_hold_s
        return self._settings.absent_hold_s

    def _patience_s(self, pending: Pending, now: float) -> float:
        bound_s = pending.request.bounds.first_token_ms / _MS_PER_S
        left_s = bound_s - self.service_s(pending, now)
        here_s = left_s * (1 - self._settings.upstream_wait_share)
        return max(here_s, bound_s * _LEAST_PATIENCE)
