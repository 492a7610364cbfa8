"""Performs what the life of one request asks for.

The runner has a task of its own: a caller that leaves is an event for the
life of the request and does not cancel the task, because a claimed call has
to be finished and recorded.
"""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from types import MappingProxyType
from typing import Any, Final, TypeAlias, final

from returns.result import Failure as Failed

from persimmonhold.admission import Dispatch, RetryReason
from persimmonhold.attempts import (
    AbandonQueued,
    AbortCallerConnection,
    AttemptActions,
    AttemptFault,
    ClaimIdempotencyKey,
    CloseAttempt,
    Connect,
    EndKeyClaim,
    EndStreamWithError,
    Enqueue,
    FinishResponse,
    Refuse,
    ReleaseUnconfirmedClaim,
    ReplayOutcome,
    RequestPhase,
    RequestResume,
    RequestRetry,
    RequestStateMachine,
    SendBody,
    StartResponse,
)
from persimmonhold.entry._attempt_runner import AttemptRunner
from persimmonhold.entry._caller_answer import CallerAnswer
from persimmonhold.entry._dispatch_listener import DispatchListener
from persimmonhold.entry._entry_services import EntryServices
from persimmonhold.entry._key_claim import KeyClaim
from persimmonhold.entry._request_job import RequestJob
from persimmonhold.entry._request_report import RequestReport
from persimmonhold.failures import Refusal
from persimmonhold.observability import metric
from persimmonhold.routing import AttemptOutcome
from persimmonhold.web import Exchange

_RECORD_WAIT_S: Final = 1.0
_DETACHED_S: Final = 60.0
_RETRY_REASONS: Final = MappingProxyType({
    AttemptFault.connect_failed: RetryReason.connect_failed,
    AttemptFault.not_run: RetryReason.upstream_refused,
    AttemptFault.connection_lost: RetryReason.broken,
    AttemptFault.stalled: RetryReason.timed_out,
    AttemptFault.upstream_error: RetryReason.server_error,
    AttemptFault.stream_incomplete: RetryReason.broken,
})
_Performers: TypeAlias = dict[type, Callable[[Any], None]]


@final
class RequestRunner(DispatchListener):
    """One request from its arrival to its end."""

    def __init__(
        self,
        services: EntryServices,
        job: RequestJob,
        exchange: Exchange,
    ) -> None:
        """Create the runner of a request that was read."""
        self.life = RequestStateMachine(job.plan)
        self.caller = CallerAnswer(
            exchange,
            job.ticket.request_id,
            job.ticket.service_class,
            services.metrics,
        )
        self._services = services
        self._job = job
        self._key = KeyClaim(services, job)
        self._report = RequestReport(services.metrics, job)
        self._next: Callable[[], Awaitable[None]] | None = None
        self._woken = asyncio.Event()
        self._dispatch: Dispatch | None = None
        self._attempt: AttemptRunner | None = None
        self._outcome: AttemptOutcome | None = None
        self._performers = self._create_performers()

    async def run(self) -> None:
        """Run the request to its end."""
        loop = asyncio.get_running_loop()
        deadline = loop.call_at(self._job.ticket.deadline, self._expire)
        try:
            self.perform(self.life.start())
            while self._next or self.life.phase is not RequestPhase.ended:
                await self._step()
        finally:
            deadline.cancel()
            self._finish()

    def perform(self, actions: AttemptActions) -> None:
        """Perform actions in their order."""
        for action in actions:
            self._performers[type(action)](action)
        self._woken.set()

    def caller_gone(self) -> None:
        """Take that the caller's connection is gone."""
        self.perform(self.life.caller_disconnected())
        self.caller.ended.set()
        self._limit_detached()

    def dispatched(self, dispatch: Dispatch) -> None:
        """Start an attempt along the route."""
        route = dispatch.route
        self._dispatch = dispatch
        self.perform(self.life.dispatched(route.upstream, route.address))

    def refused(self, refusal: Refusal) -> None:
        """Take admission's refusal."""
        self.perform(self.life.refused(refusal))

    def preempted(self) -> None:
        """Stop the attempt and queue again."""
        self.perform(self.life.preempted())

    def _create_performers(self) -> _Performers:
        return {
            AbandonQueued: self._abandon,
            AbortCallerConnection: self.caller.abort,
            ClaimIdempotencyKey: lambda _: self._plan(self._claim),
            CloseAttempt: self._close_attempt,
            Connect: lambda order: self._plan(
                partial(self._run_attempt, order)
            ),
            EndKeyClaim: self._end_claim,
            EndStreamWithError: self.caller.fail_stream,
            Enqueue: self._enqueue,
            FinishResponse: self.caller.finish,
            Refuse: self.caller.refuse,
            ReleaseUnconfirmedClaim: lambda _: self._key.release(),
            ReplayOutcome: self.caller.replay,
            RequestResume: self._resume,
            RequestRetry: self._retry,
            SendBody: self.caller.send,
            StartResponse: self._start_answer,
        }

    async def _step(self) -> None:
        following = self._next
        self._next = None
        if following is not None:
            await following()
            return
        self._woken.clear()
        await self._woken.wait()

    def _expire(self) -> None:
        self.perform(self.life.deadline_passed())
        self._limit_detached()

    def _limit_detached(self) -> None:
        """Bound the time of a call that goes on without its caller."""
        if self.life.phase is not RequestPhase.ended:
            loop = asyncio.get_running_loop()
            loop.call_later(_DETACHED_S, self._stop_detached)

    def _stop_detached(self) -> None:
        if not self.life.is_caller_connected:
            self.perform(self.life.abort())

    async def _claim(self) -> None:
        claimed = await self._key.claim()
        if isinstance(claimed, Failed):
            detail = claimed.failure().describe()
            self.perform(self.life.claim_failed(detail))
        else:
            self.perform(self.life.claim_result_received(claimed.unwrap()))

    def _end_claim(self, action: EndKeyClaim) -> None:
        settling = self._key.end(self.life.claim_index, action)
        if self.life.phase is RequestPhase.recording:
            self._plan(partial(self._await_record, settling))

    async def _await_record(self, settling: asyncio.Task[None] | None) -> None:
        if settling is not None:
            await asyncio.wait((settling,), timeout=_RECORD_WAIT_S)
        self.perform(self.life.outcome_recorded())

    def _enqueue(self, action: Enqueue) -> None:
        self._services.hub.arrive(self._job.ticket, self)

    def _abandon(self, action: AbandonQueued) -> None:
        self._services.hub.end(self._job.ticket.request_id, None)

    def _retry(self, action: RequestRetry) -> None:
        reason = _RETRY_REASONS[action.fault]
        self._services.metrics.increment(metric.RETRIES, reason=reason.value)
        self._services.hub.retry(
            self._job.ticket.request_id,
            action.failed_upstream,
            reason,
        )

    def _resume(self, action: RequestResume) -> None:
        self._services.metrics.increment(metric.RETRIES, reason='preempted')
        self._services.hub.resume(
            self._job.ticket.request_id,
            action.delivered_tokens,
        )

    def _plan(self, following: Callable[[], Awaitable[None]]) -> None:
        self._next = following

    async def _run_attempt(self, order: Connect) -> None:
        dispatch = self._dispatch
        if order.attempt != self.life.attempt or dispatch is None:
            return
        attempt = AttemptRunner(
            self._services,
            self._job,
            self.life,
            self.caller,
            order,
            dispatch.priority,
            self.perform,
        )
        self._attempt = attempt
        await attempt.run()
        self._report.add(attempt)

    def _close_attempt(self, action: CloseAttempt) -> None:
        if action.fault is not None:
            self._outcome = _RETRY_REASONS[action.fault].outcome
        attempt = self._attempt
        if attempt is not None and attempt.number == action.attempt:
            attempt.cancel(action.fault)

    def _start_answer(self, action: StartResponse) -> None:
        if self._attempt is not None:
            self.caller.start(self._attempt.head, action.body_length)

    def _finish(self) -> None:
        """Tell admission, the metrics and the log of the end."""
        answered = self.caller.outcome == 'answered'
        outcome = AttemptOutcome.completed if answered else self._outcome
        self._services.hub.end(self._job.ticket.request_id, outcome)
        self.caller.ended.set()
        route = self._dispatch.route if self._dispatch else None
        self._report.tell(self.caller.outcome, self.life.attempt, route)
