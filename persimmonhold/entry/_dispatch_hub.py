"""Connects the requests of one entry with its dispatcher.

Invariant: actions are delivered in the order in which the dispatcher
returned them, including those returned while others are being delivered.
"""

import asyncio
from collections import deque
from collections.abc import Iterable
from typing import final

from persimmonhold.admission import (
    AdmissionRequest,
    Dispatch,
    DispatchAction,
    Dispatcher,
    Refuse,
    RetryReason,
)
from persimmonhold.catalogue import UpstreamEntry
from persimmonhold.entry._dispatch_listener import DispatchListener
from persimmonhold.messages import CacheEventPage, ControlView, LoadReport
from persimmonhold.routing import AttemptOutcome, Router
from persimmonhold.upstreams import UpstreamObserver


@final
class DispatchHub(UpstreamObserver):
    """Owns the router, the dispatcher and the timer that calls its `tick`."""

    def __init__(self, router: Router, dispatcher: Dispatcher) -> None:
        """Create a hub without requests."""
        self.router = router
        self.dispatcher = dispatcher
        self.listeners: dict[str, DispatchListener] = {}
        self._undelivered: deque[DispatchAction] = deque()
        self._is_delivering = False
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return the number of requests that admission tracks."""
        return len(self.listeners)

    def submit_request(
        self, request: AdmissionRequest, listener: DispatchListener
    ) -> None:
        """Submit a new request; the listener receives the decisions on it."""
        self.listeners[request.request_id] = listener
        self._deliver_actions(self.dispatcher.submit(request, _now()))

    def retry_request(
        self,
        request_id: str,
        failed_upstream: str,
        reason: RetryReason,
    ) -> None:
        """Request another upstream after a failed attempt."""
        actions = self.dispatcher.retry_request(
            request_id,
            failed_upstream,
            reason,
            _now(),
        )
        self._deliver_actions(actions)

    def should_give_up(self, request_id: str, upstream: str) -> bool:
        """Tell whether an attempt that stalls at an upstream is given up.

        That is the case if another upstream accepts the request now, or if its
        own one is not reachable any more.
        """
        now = _now()
        state = self.router.upstream_states.get(upstream)
        if state is None or not state.health.is_reachable(now):
            return True
        return self.dispatcher.can_move(request_id, upstream, now)

    def requeue_preempted(self, request_id: str, delivered_tokens: int) -> None:
        """Queue a preempted request again.

        `delivered_tokens` is how many tokens its caller has already.
        """
        actions = self.dispatcher.requeue_preempted(
            request_id,
            delivered_tokens,
            _now(),
        )
        self._deliver_actions(actions)

    def record_first_token(self, request_id: str) -> None:
        """Record that the first token of a request has arrived now."""
        self.dispatcher.record_first_token(request_id, _now())

    def end_request(
        self, request_id: str, outcome: AttemptOutcome | None
    ) -> None:
        """End a request, if it is still tracked.

        `outcome` is None if the last attempt tells nothing about its
        upstream, or if there was none.
        """
        if self.listeners.pop(request_id, None) is None:
            return
        if outcome is None:
            self._deliver_actions(
                self.dispatcher.abandon_request(request_id, _now())
            )
        else:
            self._deliver_actions(
                self.dispatcher.end_request(request_id, outcome, _now())
            )

    def apply_view(self, view: ControlView) -> None:
        """Apply a newer control view to routing, then deliver new decisions."""
        self.router.apply_view(view, _now())
        self._deliver_actions(self.dispatcher.handle_view_change(_now()))

    def plan_stop(self, stops_at: float) -> None:
        """Have all responses end by `stops_at`; refuse what cannot."""
        self._deliver_actions(self.dispatcher.plan_stop(stops_at, _now()))

    def stop_timer(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def select_polled_upstreams(self) -> Iterable[UpstreamEntry]:
        """Adjust the subsets to the demand and return their upstreams."""
        upstreams = self.router.endpoint_index.upstreams
        names = sorted(self.router.resize_subsets(_now()))
        return [upstreams[name] for name in names if name in upstreams]

    def upstream_names_by_address(self) -> dict[str, str]:
        """Return the name of each upstream, keyed by its address."""
        upstreams = self.router.endpoint_index.upstreams
        return {entry.address: name for name, entry in upstreams.items()}

    def apply_load_report(self, upstream: str, report: LoadReport) -> None:
        """Pass a load report to the router."""
        self.router.apply_load_report(upstream, report, _now())

    def update_leaving_state(self, upstream: str, is_leaving: bool) -> None:
        """Pass to the router whether an upstream is leaving."""
        self.router.set_leaving_in_vm_list(upstream, is_leaving, _now())

    def record_refused_connection(self, upstream: str) -> None:
        """Pass a refused connection to the router."""
        self.router.record_refused_connection(upstream, _now())

    def apply_cache_events(
        self,
        upstream: str,
        page: CacheEventPage,
    ) -> None:
        """Pass a page of prefix cache events to the router."""
        self.router.apply_cache_events(upstream, page, _now())

    def _deliver_actions(self, actions: Iterable[DispatchAction]) -> None:
        self._undelivered.extend(actions)
        if self._is_delivering:
            return
        self._is_delivering = True
        while self._undelivered:
            self._deliver_action(self._undelivered.popleft())
        self._is_delivering = False
        self._schedule_tick()

    def _deliver_action(self, action: DispatchAction) -> None:
        if isinstance(action, Refuse):
            refused_listener = self.listeners.pop(action.request_id, None)
            if refused_listener is not None:
                refused_listener.handle_refusal(action.refusal)
            return
        listener = self.listeners.get(action.request_id)
        if listener is None:
            return
        if isinstance(action, Dispatch):
            listener.handle_dispatch(action)
        else:
            listener.handle_preemption()

    def _schedule_tick(self) -> None:
        wakeup_at = self.dispatcher.next_wakeup()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wakeup_at is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(wakeup_at, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._deliver_actions(self.dispatcher.tick(_now()))


def _now() -> float:
    return asyncio.get_running_loop().time()
