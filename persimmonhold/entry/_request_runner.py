"""Runs one request by performing the actions of its state machine.

The runner has its own task. A caller that disconnects is an event for the
state machine and does not cancel the task, because a claimed call has to be
finished and recorded.
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
from persimmonhold.entry._caller_response import CallerResponse
from persimmonhold.entry._dispatch_listener import DispatchListener
from persimmonhold.entry._entry_services import EntryServices
from persimmonhold.entry._key_claim import KeyClaim
from persimmonhold.entry._parsed_request import ParsedRequest
from persimmonhold.entry._request_report import RequestReport
from persimmonhold.failures import Refusal
from persimmonhold.observability import metric
from persimmonhold.routing import AttemptOutcome
from persimmonhold.web import Exchange

# After this time the response is sent even if its outcome is not committed.
_RECORDING_TIMEOUT_S: Final = 1.0
# Longest time for which a call runs on after its caller has disconnected.
_MAX_DETACHED_S: Final = 60.0
_RETRY_REASONS: Final = MappingProxyType({
    AttemptFault.connect_failed: RetryReason.connect_failed,
    AttemptFault.not_run: RetryReason.upstream_refused,
    AttemptFault.connection_lost: RetryReason.broken,
    AttemptFault.stalled: RetryReason.timed_out,
    AttemptFault.upstream_error: RetryReason.server_error,
    AttemptFault.stream_incomplete: RetryReason.broken,
})
_ActionHandlers: TypeAlias = dict[type, Callable[[Any], None]]


@final
class RequestRunner(DispatchListener):
    """Runs one request from its arrival to its end."""

    def __init__(
        self,
        services: EntryServices,
        request: ParsedRequest,
        exchange: Exchange,
    ) -> None:
        """Create the runner of a parsed request."""
        self.machine = RequestStateMachine(request.properties)
        self.caller_response = CallerResponse(
            exchange,
            request.admission_request.request_id,
            request.admission_request.service_class,
            services.metrics,
        )
        self._services = services
        self._request = request
        self._key_claim = KeyClaim(services, request)
        self._report = RequestReport(services.metrics, request)
        self._next_step: Callable[[], Awaitable[None]] | None = None
        self._wakeup = asyncio.Event()
        self._dispatch: Dispatch | None = None
        self._attempt: AttemptRunner | None = None
        self._attempt_outcome: AttemptOutcome | None = None
        self._action_handlers = self._create_action_handlers()

    async def run(self) -> None:
        """Run the request until it has ended and its actions are done."""
        loop = asyncio.get_running_loop()
        deadline_timer = loop.call_at(
            self._request.admission_request.deadline, self._handle_deadline
        )
        try:
            self.perform_actions(self.machine.start())
            while (
                self._next_step or self.machine.phase is not RequestPhase.ended
            ):
                await self._run_next_step()
        finally:
            deadline_timer.cancel()
            self._record_end()

    def perform_actions(self, actions: AttemptActions) -> None:
        """Perform actions in the given order."""
        for action in actions:
            self._action_handlers[type(action)](action)
        self._wakeup.set()

    def handle_caller_disconnect(self) -> None:
        """Handle the loss of the caller's connection."""
        self.perform_actions(self.machine.caller_disconnected())
        self.caller_response.ended.set()
        self._schedule_detached_abort()

    def handle_dispatch(self, dispatch: Dispatch) -> None:
        """Start an attempt at the upstream of the route."""
        route = dispatch.route
        self._dispatch = dispatch
        self.perform_actions(
            self.machine.dispatched(route.upstream, route.address)
        )

    def handle_refusal(self, refusal: Refusal) -> None:
        """Refuse the request as admission decided."""
        self.perform_actions(self.machine.refused(refusal))

    def handle_preemption(self) -> None:
        """Stop the current attempt and queue the request again."""
        self.perform_actions(self.machine.preempted())

    def _create_action_handlers(self) -> _ActionHandlers:
        return {
            AbandonQueued: self._abandon_queued,
            AbortCallerConnection: self.caller_response.abort_connection,
            ClaimIdempotencyKey: lambda _: self._set_next_step(self._claim_key),
            CloseAttempt: self._close_attempt,
            Connect: lambda action: self._set_next_step(
                partial(self._run_attempt, action)
            ),
            EndKeyClaim: self._end_claim,
            EndStreamWithError: self.caller_response.fail_stream,
            Enqueue: self._enqueue,
            FinishResponse: self.caller_response.finish_response,
            Refuse: self.caller_response.send_refusal,
            ReleaseUnconfirmedClaim: lambda _: self._key_claim.start_release(),
            ReplayOutcome: self.caller_response.replay_outcome,
            RequestResume: self._requeue_preempted,
            RequestRetry: self._request_retry,
            SendBody: self.caller_response.send_body,
            StartResponse: self._start_response,
        }

    async def _run_next_step(self) -> None:
        step = self._next_step
        self._next_step = None
        if step is not None:
            await step()
            return
        self._wakeup.clear()
        await self._wakeup.wait()

    def _handle_deadline(self) -> None:
        self.perform_actions(self.machine.deadline_passed())
        self._schedule_detached_abort()

    def _schedule_detached_abort(self) -> None:
        """Limit the time for which a call runs on without its caller."""
        if self.machine.phase is not RequestPhase.ended:
            loop = asyncio.get_running_loop()
            loop.call_later(_MAX_DETACHED_S, self._abort_detached)

    def _abort_detached(self) -> None:
        if not self.machine.is_caller_connected:
            self.perform_actions(self.machine.abort())

    async def _claim_key(self) -> None:
        claim_result = await self._key_claim.propose_claim()
        if isinstance(claim_result, Failed):
            detail = claim_result.failure().describe()
            self.perform_actions(self.machine.claim_failed(detail))
        else:
            self.perform_actions(
                self.machine.claim_result_received(claim_result.unwrap())
            )

    def _end_claim(self, action: EndKeyClaim) -> None:
        commit_task = self._key_claim.start_end_commit(
            self.machine.claim_index, action
        )
        if self.machine.phase is RequestPhase.recording:
            self._set_next_step(partial(self._wait_for_recording, commit_task))

    async def _wait_for_recording(
        self, commit_task: asyncio.Task[None] | None
    ) -> None:
        if commit_task is not None:
            await asyncio.wait((commit_task,), timeout=_RECORDING_TIMEOUT_S)
        self.perform_actions(self.machine.outcome_recorded())

    def _enqueue(self, action: Enqueue) -> None:
        self._services.hub.submit_request(self._request.admission_request, self)

    def _abandon_queued(self, action: AbandonQueued) -> None:
        self._services.hub.end_request(
            self._request.admission_request.request_id, None
        )

    def _request_retry(self, action: RequestRetry) -> None:
        reason = _RETRY_REASONS[action.fault]
        self._services.metrics.increment(metric.RETRIES, reason=reason.value)
        self._services.hub.retry_request(
            self._request.admission_request.request_id,
            action.failed_upstream,
            reason,
        )

    def _requeue_preempted(self, action: RequestResume) -> None:
        self._services.metrics.increment(metric.RETRIES, reason='preempted')
        self._services.hub.requeue_preempted(
            self._request.admission_request.request_id,
            action.delivered_tokens,
        )

    def _set_next_step(self, step: Callable[[], Awaitable[None]]) -> None:
        self._next_step = step

    async def _run_attempt(self, action: Connect) -> None:
        dispatch = self._dispatch
        if (
            action.attempt_number != self.machine.attempt_number
            or dispatch is None
        ):
            return
        attempt = AttemptRunner(
            self._services,
            self._request,
            self.machine,
            self.caller_response,
            action,
            dispatch.priority,
            self.perform_actions,
        )
        self._attempt = attempt
        await attempt.run()
        self._report.add_attempt(attempt)

    def _close_attempt(self, action: CloseAttempt) -> None:
        if action.fault is not None:
            self._attempt_outcome = _RETRY_REASONS[action.fault].outcome
        attempt = self._attempt
        if (
            attempt is not None
            and attempt.attempt_number == action.attempt_number
        ):
            attempt.cancel_attempt(action.fault)

    def _start_response(self, action: StartResponse) -> None:
        if self._attempt is not None:
            self.caller_response.send_head(
                self._attempt.response_head, action.body_length
            )

    def _record_end(self) -> None:
        """Report the end to admission, the metrics and the log."""
        is_answered = self.caller_response.outcome == 'answered'
        outcome = (
            AttemptOutcome.completed if is_answered else self._attempt_outcome
        )
        self._services.hub.end_request(
            self._request.admission_request.request_id, outcome
        )
        self.caller_response.ended.set()
        route = self._dispatch.route if self._dispatch else None
        self._report.record_end(
            self.caller_response.settle_outcome(),
            self.machine.attempt_number,
            route,
        )
