"""The state machine of one request from its arrival to its response.

Invariants:

- A non-idempotent request that may have run is never sent again.
- A refusal says `ran: no` only if no attempt may have run.
- A claim is released only if no attempt may have run; else it ends with an
  outcome or in doubt.
- Events of an earlier attempt are ignored, so a late response is dropped.
- The caller receives a prefix of complete events; a resumed attempt starts
  after exactly the tokens in that prefix.
"""

from typing import Final, final

from persimmonhold.attempts._abandon_queued import AbandonQueued
from persimmonhold.attempts._attempt_action import AttemptActions
from persimmonhold.attempts._attempt_fault import AttemptFault
from persimmonhold.attempts._claim_key_action import ClaimIdempotencyKey
from persimmonhold.attempts._close_attempt import CloseAttempt
from persimmonhold.attempts._connect import Connect
from persimmonhold.attempts._end_key_claim import EndKeyClaim
from persimmonhold.attempts._enqueue import Enqueue
from persimmonhold.attempts._execution_evidence import ExecutionEvidence
from persimmonhold.attempts._finish_response import FinishResponse
from persimmonhold.attempts._refusals import (
    claim_refusal,
    deadline_refusal,
    failure_refusal,
    no_quorum_refusal,
    stop_refusal,
)
from persimmonhold.attempts._refuse import (
    AbortCallerConnection,
    EndStreamWithError,
    Refuse,
)
from persimmonhold.attempts._relayed_response import RelayedResponse
from persimmonhold.attempts._release_unconfirmed_claim import (
    ReleaseUnconfirmedClaim,
)
from persimmonhold.attempts._replay_outcome import ReplayOutcome
from persimmonhold.attempts._request_phase import RequestPhase
from persimmonhold.attempts._request_properties import RequestProperties
from persimmonhold.attempts._request_retry import RequestResume, RequestRetry
from persimmonhold.attempts._send_body import SendBody
from persimmonhold.attempts._start_response import StartResponse
from persimmonhold.attempts._upstream_response_head import UpstreamResponseHead
from persimmonhold.control.machine import CommandResult, CommandStatus
from persimmonhold.failures import Refusal, RefusalReason

# A request under which so many upstreams in a row were lost is not sent again.
_MAX_LOST_ATTEMPTS: Final = 3
_BODY_PHASES: Final = frozenset((RequestPhase.holding, RequestPhase.streaming))
_ATTEMPT_PHASES: Final = _BODY_PHASES | {
    RequestPhase.connecting,
    RequestPhase.sent,
}


@final
class RequestStateMachine:
    """Turns each event of a request into the actions to perform next.

    `attempt_number` counts the attempts from 1 and is 0 before the first.
    `claim_index` is the log index of the request's claim, 0 without one.
    """

    __slots__ = (
        '_upstream',
        'attempt_number',
        'claim_index',
        'evidence',
        'is_caller_connected',
        'phase',
        'properties',
        'response',
    )

    def __init__(self, properties: RequestProperties) -> None:
        """Create the state machine of a request that has arrived."""
        self.properties = properties
        self.phase = RequestPhase.arrived
        self.attempt_number = 0
        self.is_caller_connected = True
        self.claim_index = 0
        self.evidence = ExecutionEvidence()
        self.response = RelayedResponse(properties)
        self._upstream = ''

    def start(self) -> AttemptActions:
        """Claim the idempotency key if there is one, else queue the request.

        Returns no action if the request has ended before it was started.
        """
        if self.phase is not RequestPhase.arrived:
            return ()
        if self.properties.has_claimable_key:
            self.phase = RequestPhase.claiming
            return (ClaimIdempotencyKey(),)
        self.phase = RequestPhase.queued
        return (Enqueue(),)

    def claim_result_received(self, result: CommandResult) -> AttemptActions:
        """Queue, refuse or answer the request by the result of its claim.

        If an outcome is recorded for the key, the request is answered with it.
        """
        if self.phase is not RequestPhase.claiming:
            return ()
        if result.status is CommandStatus.claim_granted:
            self.claim_index = result.claim
            self.phase = RequestPhase.queued
            return (Enqueue(),)
        self.phase = RequestPhase.ended
        completed = result.status is CommandStatus.claim_completed
        if completed and result.outcome is not None:
            return (ReplayOutcome(result.outcome),)
        return (Refuse(claim_refusal(result.status)),)

    def claim_failed(self, detail: str) -> AttemptActions:
        """Refuse the request, as the commit of its claim is not confirmed."""
        if self.phase is not RequestPhase.claiming:
            return ()
        self.phase = RequestPhase.ended
        return (Refuse(no_quorum_refusal(detail)), ReleaseUnconfirmedClaim())

    def dispatched(self, upstream: str, address: str) -> AttemptActions:
        """Start an attempt at the upstream that admission has chosen."""
        if self.phase is not RequestPhase.queued:
            return ()
        self.phase = RequestPhase.connecting
        self.attempt_number += 1
        self._upstream = upstream
        start = Connect(
            attempt_number=self.attempt_number,
            upstream=upstream,
            address=address,
            resume_offset=self.response.event_framer.token_count,
        )
        return (start,)

    def refused(self, refusal: Refusal) -> AttemptActions:
        """End the request after a refusal by admission."""
        if self.phase is not RequestPhase.queued:
            return ()
        if refusal.reason is RefusalReason.draining:
            may_have_run = self.evidence.may_have_run
            refusal = stop_refusal(may_have_run=may_have_run)
        return self._end_with_refusal(refusal)

    def request_sent(self, attempt_number: int) -> None:
        """Record that the first byte of an attempt is about to be written.

        From here on, the attempt may have run.
        """
        if (
            attempt_number == self.attempt_number
            and self.phase is RequestPhase.connecting
        ):
            self.phase = RequestPhase.sent
            self.evidence.attempt_may_have_run = True

    def head_received(
        self,
        attempt_number: int,
        head: UpstreamResponseHead,
    ) -> AttemptActions:
        """Decide by the response head whether to fail, buffer or relay.

        A client error is relayed even if the upstream states that it did not
        run the request.
        """
        if (
            attempt_number != self.attempt_number
            or self.phase is not RequestPhase.sent
        ):
            return ()
        if head.is_not_run:
            self.evidence.attempt_may_have_run = False
        if head.is_not_run and not head.is_client_error:
            return self._fail_attempt(AttemptFault.not_run)
        if self.response.is_failure(head):
            return self._fail_attempt(AttemptFault.upstream_error)
        self.response.head = head
        if self.response.is_buffered(head):
            self.phase = RequestPhase.holding
            return ()
        self.phase = RequestPhase.streaming
        return self._start_response()

    def relay_chunk(self, attempt_number: int, chunk: bytes) -> bytes:
        """Return the bytes to send to the caller after a received chunk.

        Returns only complete events if the response is a resumable stream of
        events. Returns nothing in other phases than `streaming`, or for an
        earlier attempt.
        """
        if (
            attempt_number != self.attempt_number
            or self.phase is not RequestPhase.streaming
        ):
            return b''
        if self.response.is_event_stream:
            return self.response.event_framer.feed(chunk)
        self.response.event_boundary.feed(chunk)
        return chunk

    def buffer_chunk(self, attempt_number: int, chunk: bytes) -> AttemptActions:
        """Buffer a chunk of the response body, in phase `holding`.

        Starts to relay the response if the buffer exceeds its limit.
        """
        if (
            attempt_number != self.attempt_number
            or self.phase is not RequestPhase.holding
        ):
            return ()
        self.response.buffered_body += chunk
        self.response.event_boundary.feed(chunk)
        if not self.response.is_over_buffer_limit:
            return ()
        self.phase = RequestPhase.streaming
        body = SendBody(self.response.take_buffered_body())
        return (*self._start_response(), body)

    def body_ended(self, attempt_number: int) -> AttemptActions:
        """Handle the end of the upstream's response body.

        Sends or records a complete response; fails an incomplete stream.

        A buffered response to a request with a claim is recorded before it
        is sent.
        """
        if attempt_number != self.attempt_number:
            return ()
        if self.phase in _BODY_PHASES and self.response.is_broken_off:
            return self._fail_attempt(AttemptFault.stream_incomplete)
        if self.phase is RequestPhase.streaming:
            return self._end_relayed_body(AttemptFault.stream_incomplete)
        if self.phase is not RequestPhase.holding:
            return ()
        if not self.claim_index:
            return self._send_buffered_response()
        self.phase = RequestPhase.recording
        return (EndKeyClaim(outcome=self.response.outcome),)

    def attempt_failed(
        self,
        attempt_number: int,
        fault: AttemptFault,
        *,
        has_sent_bytes: bool = True,
    ) -> AttemptActions:
        """Retry or refuse the request after a failed attempt.

        Ends the response normally if its stream is already complete. Without
        `has_sent_bytes` the attempt certainly did not run.
        """
        if (
            attempt_number != self.attempt_number
            or self.phase not in _ATTEMPT_PHASES
        ):
            return ()
        if not has_sent_bytes:
            self.evidence.attempt_may_have_run = False
        if self.response.event_framer.is_complete:
            return self._end_relayed_body(fault)
        return self._fail_attempt(fault)

    def preempted(self) -> AttemptActions:
        """Close the attempt and queue the request again, if that is safe.

        It is safe for an idempotent request whose response has not begun or is
        a resumable stream of events. In all other cases, the attempt continues
        and no action is returned. A stream that is already complete ends
        normally.
        """
        if (
            self.phase not in _ATTEMPT_PHASES
            or not self.properties.is_idempotent
        ):
            return ()
        if self.response.is_started and not self.response.is_event_stream:
            return ()
        close = CloseAttempt(attempt_number=self.attempt_number)
        if self.response.event_framer.is_complete:
            return (
                close,
                *self._end_relayed_body(AttemptFault.connection_lost),
            )
        _return_to_queue(self)
        tokens = self.response.event_framer.token_count
        return (close, RequestResume(delivered_tokens=tokens))

    def outcome_recorded(self) -> AttemptActions:
        """Send the buffered response.

        Called once its outcome is recorded, or if that takes too long.
        """
        if self.phase is not RequestPhase.recording:
            return ()
        return self._send_buffered_response()

    def deadline_passed(self) -> AttemptActions:
        """Refuse a request whose response has not begun at its deadline.

        A response that has begun ends only if the caller set the deadline. A
        response that is being recorded is complete and is still sent. A
        request with a claim whose attempt may have run is refused, but its
        attempt continues, to record its outcome.
        """
        if self.phase in {RequestPhase.ended, RequestPhase.recording}:
            return ()
        if not self.is_caller_connected:
            return ()
        if self.response.is_started and not self.properties.has_caller_deadline:
            return ()
        if _is_outcome_needed(self) and not self.response.is_started:
            self.is_caller_connected = False
            return (Refuse(self.evidence.apply_to_refusal(deadline_refusal())),)
        return self._break_off(deadline_refusal())

    def stop_reached(self, *, is_final: bool) -> AttemptActions:
        """Answer the request at a time limit of its entry's planned stop.

        Until the limit that `is_final`, a response that has begun goes on, and
        so does an attempt that only records its outcome; its caller is
        refused.
        """
        if self.phase in {RequestPhase.ended, RequestPhase.recording}:
            is_complete = self.phase is RequestPhase.recording and is_final
            return self._send_buffered_response() if is_complete else ()
        if not self.is_caller_connected:
            return self.abort() if is_final else ()
        if self.response.is_started and not is_final:
            return ()
        refusal = stop_refusal(may_have_run=self.evidence.may_have_run)
        if _is_outcome_needed(self) and not is_final:
            self.is_caller_connected = False
            return (Refuse(self.evidence.apply_to_refusal(refusal)),)
        return self._break_off(refusal)

    def caller_disconnected(self) -> AttemptActions:
        """Stop the request of a caller that closed its connection.

        A request with a claim whose attempt may have run continues, so that
        its outcome can be recorded for a resend.
        """
        if self.phase is RequestPhase.ended or not self.is_caller_connected:
            return ()
        self.is_caller_connected = False
        if self.phase is RequestPhase.recording or _is_outcome_needed(self):
            return ()
        return self.abort()

    def abort(self) -> AttemptActions:
        """Stop the request, even if it continues only to record its outcome."""
        if self.phase in {RequestPhase.ended, RequestPhase.recording}:
            return ()
        self.is_caller_connected = False
        released = _build_release_actions(self)
        self.phase = RequestPhase.ended
        return (*released, *_build_claim_end_actions(self))

    def _break_off(self, refusal: Refusal) -> AttemptActions:
        """End the request now, whatever it waits for.

        An event stream that is already complete ends normally.
        """
        released = _build_release_actions(self)
        if self.response.event_framer.is_complete:
            return (*released, *self._end_relayed_body(AttemptFault.stalled))
        return (*released, *self._end_with_refusal(refusal))

    def _start_response(self) -> AttemptActions:
        """Start the response to the caller.

        Returns no action if it has started or the caller has disconnected.
        """
        if self.response.is_started or not self.is_caller_connected:
            return ()
        self.response.is_started = True
        return (StartResponse(),)

    def _end_relayed_body(self, fault: AttemptFault) -> AttemptActions:
        """End a response that was relayed as it arrived.

        An event stream without `[DONE]` fails with `fault` instead. The
        outcome of a request with a claim is recorded without the body.
        """
        if (
            self.response.is_event_stream
            and not self.response.event_framer.is_complete
        ):
            return self._fail_attempt(fault)
        self.phase = RequestPhase.ended
        if not self.claim_index:
            return (FinishResponse(),)
        recorded = EndKeyClaim(outcome=self.response.outcome_without_body)
        if not self.is_caller_connected:
            return (recorded,)
        return (recorded, FinishResponse())

    def _send_buffered_response(self) -> AttemptActions:
        """End the request; send its buffered response to a connected caller."""
        self.phase = RequestPhase.ended
        if not self.is_caller_connected:
            return ()
        self.response.is_started = True
        body = self.response.take_buffered_body()
        start = StartResponse(body_length=len(body))
        if not body:
            return (start, FinishResponse())
        return (start, SendBody(body), FinishResponse())

    def _fail_attempt(self, fault: AttemptFault) -> AttemptActions:
        """Close the attempt; ask for a retry if safe, else end the request.

        A retry is safe unless the request may have run and is not idempotent,
        its response has begun and cannot be resumed, or it may be the reason
        why upstreams are lost.
        """
        self.evidence.count_lost_attempt(
            self.response.event_framer.token_count,
            is_lost=fault is AttemptFault.connection_lost,
        )
        is_spent = self.evidence.lost_count >= _MAX_LOST_ATTEMPTS
        close = CloseAttempt(attempt_number=self.attempt_number, fault=fault)
        in_doubt = (
            self.evidence.may_have_run and not self.properties.is_idempotent
        )
        is_truncated = (
            self.response.is_started and not self.response.is_event_stream
        )
        if in_doubt or is_truncated or is_spent or not self.is_caller_connected:
            refusal = failure_refusal(fault, in_doubt=in_doubt)
            return (close, *self._end_with_refusal(refusal))
        _return_to_queue(self)
        retry = RequestRetry(failed_upstream=self._upstream, fault=fault)
        return (close, retry)

    def _end_with_refusal(self, refusal: Refusal) -> AttemptActions:
        """End the request without a complete response, and its claim.

        Depending on what has been sent, the caller gets a problem document, an
        error event or a broken connection.
        """
        self.phase = RequestPhase.ended
        final_refusal = self.evidence.apply_to_refusal(refusal)
        claim_actions = _build_claim_end_actions(self)
        if not self.is_caller_connected:
            return claim_actions
        if not self.response.is_started:
            return (Refuse(final_refusal), *claim_actions)
        if self.response.is_event_stream:
            return (EndStreamWithError(final_refusal), *claim_actions)
        return (AbortCallerConnection(final_refusal), *claim_actions)


def _is_outcome_needed(machine: RequestStateMachine) -> bool:
    """Return whether the attempt must continue to record its outcome."""
    return machine.claim_index > 0 and machine.evidence.attempt_may_have_run


def _return_to_queue(machine: RequestStateMachine) -> None:
    """Enter phase `queued`; discard the bytes that were not delivered."""
    machine.phase = RequestPhase.queued
    machine.evidence.end_attempt()
    machine.response.discard_undelivered()


def _build_claim_end_actions(machine: RequestStateMachine) -> AttemptActions:
    """Return the action that ends the claim of a request without an outcome.

    The claim is marked as in doubt if the request may have run, else released.
    Returns no action for a request without a claim.
    """
    if not machine.claim_index:
        return ()
    return (EndKeyClaim(is_in_doubt=machine.evidence.may_have_run),)


def _build_release_actions(machine: RequestStateMachine) -> AttemptActions:
    """Return the action that ends the work in progress in the present phase.

    It closes the attempt, removes the request from the queue or releases the
    unconfirmed claim.
    """
    if machine.phase in _ATTEMPT_PHASES:
        return (CloseAttempt(attempt_number=machine.attempt_number),)
    if machine.phase is RequestPhase.queued:
        return (AbandonQueued(),)
    if machine.phase is RequestPhase.claiming:
        return (ReleaseUnconfirmedClaim(),)
    return ()
