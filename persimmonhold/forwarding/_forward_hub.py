"""Passes requests to the dispatcher, and returns its actions to them.

Invariant: each request waits for at most one action at a time, and receives
its actions in the order in which the dispatcher returned them.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import final

import msgspec

from persimmonhold.fleet import (
    AttemptEnd,
    DispatchRequest,
    EntryReport,
    FleetDemandMeter,
    FleetUpdate,
    ForwardAction,
    ForwardDispatcher,
    RefuseRequest,
    RequestProfile,
    StatedLimit,
)
from persimmonhold.forwarding._attempt_result import AttemptResult
from persimmonhold.forwarding._brittle_recorder import BrittleRecorder
from persimmonhold.forwarding._fleet_view_log import FleetViewLog
from persimmonhold.forwarding._sparing_recorder import SparingRecorder
from persimmonhold.forwarding._stream_recorder import StreamRecorder
from persimmonhold.observability import Metrics, log_event
from persimmonhold.quarantine import (
    PromptEvidence,
    QuarantineUpdate,
    QuarantineView,
)
from persimmonhold.usage import WorkspaceMeter


@final
class ForwardHub:
    """Owns an entry's dispatcher, the requests that wait for it, and its timer.

    `clock` includes the time in which the VM was suspended. `request_waiting`
    is set when a request starts to wait.
    """

    __slots__ = (
        'brittle',
        'clock',
        'demand_meter',
        'dispatcher',
        'quarantine',
        'request_numbers',
        'request_waiting',
        'sparing',
        'streams',
        'timer',
        'usage_meter',
        'view_log',
        'waiters',
    )

    def __init__(
        self,
        dispatcher: ForwardDispatcher,
        clock: Callable[[], float],
        metrics: Metrics | None = None,
    ) -> None:
        """Create a hub without any request."""
        self.dispatcher = dispatcher
        self.clock = clock
        self.demand_meter = FleetDemandMeter()
        self.quarantine = QuarantineView()
        self.request_waiting = asyncio.Event()
        self.request_numbers = itertools.count(1)
        self.waiters: dict[int, asyncio.Future[ForwardAction]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.view_log = FleetViewLog(clock())
        self.sparing = SparingRecorder(dispatcher, clock, metrics or Metrics())
        self.brittle = BrittleRecorder(dispatcher, clock)
        self.streams = StreamRecorder(dispatcher, clock)
        self.usage_meter = WorkspaceMeter()

    def submit_request(
        self, dispatch_request: DispatchRequest
    ) -> asyncio.Future[ForwardAction]:
        """Submit a new request; the future receives its first action."""
        self.demand_meter.record_arrival(dispatch_request)
        waiter = self.create_waiter(dispatch_request.number)
        self.deliver(
            self.dispatcher.submit_request(dispatch_request, self.clock())
        )
        if not waiter.done():
            self.request_waiting.set()
        return waiter

    def retry_request(
        self,
        request_number: int,
        attempt_end: AttemptEnd,
    ) -> asyncio.Future[ForwardAction]:
        """Submit a request again after an attempt; return its next action."""
        waiter = self.create_waiter(request_number)
        self.deliver(
            self.dispatcher.retry_request(
                request_number, attempt_end, self.clock()
            )
        )
        return waiter

    def record_first_byte(self, request_number: int) -> None:
        """Record that the first byte of the response to a request arrived."""
        self.dispatcher.record_first_byte(request_number, self.clock())

    def record_stated_limit(
        self,
        process: tuple[str, int],
        limit_per_s: float | None,
        sent_at: float,
    ) -> None:
        """Record the request limit in a response, and log a change of it.

        The request was sent at `sent_at`.
        """
        self.quarantine.record_response(process, sent_at, self.clock())
        if self.dispatcher.chooser.record_response_limit(
            process, limit_per_s, sent_at, self.clock()
        ):
            log_event(
                'upstream_limit', upstream=process[0], limit_per_s=limit_per_s
            )

    def find_stated_limit(self, request_number: int) -> StatedLimit | None:
        """Return the limit for which a request needs a permit, or None."""
        return self.dispatcher.find_stated_limit(request_number, self.clock())

    def record_permit(self, request_number: int, wait_s: float) -> None:
        """Record a permit, or in how many seconds there may be one."""
        self.dispatcher.record_permit(request_number, wait_s, self.clock())

    def record_adapter_loaded(self, request_number: int) -> None:
        """Record that the adapter of a request was loaded."""
        self.dispatcher.record_adapter_loaded(request_number, self.clock())

    def finish_request(
        self, request_number: int, attempt_end: AttemptEnd
    ) -> None:
        """Remove a request that has ended, and dispatch others in its place."""
        waiter = self.waiters.pop(request_number, None)
        if waiter is not None:
            waiter.cancel()
        self.deliver(
            self.dispatcher.finish_request(
                request_number, attempt_end, self.clock()
            )
        )

    def apply_update(self, update: FleetUpdate) -> None:
        """Apply new facts about the upstreams and dispatch requests."""
        now = self.clock()
        self.deliver(self.dispatcher.apply_update(update, now))
        self.streams.record_update(update)
        self.quarantine.begin_term(self.dispatcher.term)
        for process in self.quarantine.silent.processes:
            if self.dispatcher.chooser.has_ended(process):
                self.quarantine.record_process_end(process, now)
        self.streams.record_builds(
            has_changed=bool(update.facts or update.gone)
        )
        is_applied = self.dispatcher.sequence == update.sequence
        self.view_log.record_update(now, is_applied=is_applied)

    def build_report(self) -> EntryReport:
        """Return a report of the load, and the demand since the last call."""
        now = self.clock()
        self.view_log.log_if_due(self.dispatcher, now)
        self.sparing.log_changes()
        report = self.demand_meter.build_report(self.dispatcher, now)
        return self.streams.complete_report(
            msgspec.structs.replace(
                report, quarantine_version=self.quarantine.version
            )
        )

    def build_evidence(self) -> PromptEvidence | None:
        """Return what the controller has to know of prompts, or None."""
        return self.quarantine.build_evidence(self.clock())

    def apply_quarantine(self, update: QuarantineUpdate) -> None:
        """Apply an update of the quarantined prompts, and log new ones.

        Waiting requests that have such a prompt are refused.
        """
        begun = self.quarantine.apply_update(update, self.clock())
        for prompt in begun:
            log_event(
                'quarantine_in_force',
                prompt_parts=prompt.parts,
                left_s=round(prompt.left_s, 1),
                processes=prompt.processes,
                term=update.term,
                version=update.version,
            )
        for parts in update.revoked:
            log_event(
                'quarantine_revoked', prompt_parts=parts, version=update.version
            )
        if begun:
            self._refuse_waiting()

    def build_quarantine_refusal(
        self, dispatch_request: DispatchRequest
    ) -> RefuseRequest | None:
        """Return the refusal of a request whose prompt is quarantined, or None.

        It tells the caller how long the quarantine lasts. A request that may be
        sent as a trial is not refused.
        """
        now = self.clock()
        parts = dispatch_request.profile.all_parts
        left_s = self.quarantine.find_left_s(parts, now)
        if not left_s or self.quarantine.may_try(parts, now):
            return None
        self.quarantine.record_refused(parts, now)
        return RefuseRequest(
            number=dispatch_request.number,
            reason='quarantined_prompt',
            retry_after_s=left_s,
            waited_s=now - dispatch_request.arrived_at,
        )

    def begin_trial(self, dispatch_request: DispatchRequest) -> None:
        """Record that a request is sent, which is a trial if quarantined."""
        now = self.clock()
        profile = dispatch_request.profile
        if self.quarantine.may_try(profile.all_parts, now):
            self.quarantine.begin_trial(profile.all_parts, now)
            log_event('quarantine_trial', request_id=profile.request_id)

    def record_prompt_answered(
        self, profile: RequestProfile, began_at: float
    ) -> None:
        """Record that an upstream began to answer a prompt, and went on."""
        self.quarantine.record_answered(profile.shared_parts, began_at)

    def record_prompt_outcome(
        self,
        process: tuple[str, int],
        profile: RequestProfile,
        result: AttemptResult,
    ) -> None:
        """Record whether an upstream ended when it was to answer a prompt."""
        now = self.clock()
        parts = profile.shared_parts
        if result.is_cut:
            self.quarantine.record_cut(
                process, profile.request_id, parts, result.streamed_s, now
            )
        elif result.end is AttemptEnd.answered:
            self.record_prompt_answered(profile, now - (result.streamed_s or 0))
        elif result.is_silent:
            self.quarantine.record_silence(
                process, profile.request_id, parts, now
            )
        if result.end in {AttemptEnd.unreachable, AttemptEnd.replaced}:
            self.quarantine.record_process_end(process, now)

    def plan_stop(self, stops_at: float) -> None:
        """Have all responses end by `stops_at`; refuse what cannot."""
        self.deliver(self.dispatcher.plan_stop(stops_at, self.clock()))

    def close(self) -> None:
        """Stop the timer that dispatches waiting requests."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def create_waiter(
        self, request_number: int
    ) -> asyncio.Future[ForwardAction]:
        """Return a future for the next action of a request."""
        waiter: asyncio.Future[ForwardAction] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiters[request_number] = waiter
        return waiter

    def deliver(self, actions: Iterable[ForwardAction]) -> None:
        """Pass each action to the request that waits for it; set the timer."""
        for action in actions:
            waiter = self.waiters.pop(action.number, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(action)
        self._schedule_dispatch()

    def _refuse_waiting(self) -> None:
        """Refuse the waiting requests whose prompt is quarantined."""
        for number in tuple(self.waiters):
            pending = self.dispatcher.pending.get(number)
            if pending is not None:
                refusal = self.build_quarantine_refusal(pending.request)
                if refusal is not None:
                    self.deliver((refusal,))

    def _schedule_dispatch(self) -> None:
        """Set the timer if requests are waiting and it is not set."""
        dispatch_at = self.dispatcher.next_dispatch_at()
        if dispatch_at is None or self.timer is not None:
            return
        delay_s = max(0, dispatch_at - self.clock())
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay_s, self._dispatch_waiting)

    def _dispatch_waiting(self) -> None:
        self.timer = None
        self.deliver(self.dispatcher.dispatch_waiting(self.clock()))
