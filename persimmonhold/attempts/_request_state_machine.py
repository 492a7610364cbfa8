"""The state machine of one request.

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
from persimmonhold.failures import Refusal

_ATTEMPT_PHASES: Final = frozenset((
    RequestPhase.connecting,
    RequestPhase.sent,
    RequestPhase.holding,
    RequestPhase.streaming,
))


@final
class RequestStateMachine:
    """Turns each event of a request into the actions to perform next."""

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
        """Claim the idempotency key if there is one, else queue the request."""
        if self.properties.has_claimable_key:
            self.phase = RequestPhase.claiming
            return (ClaimIdempotencyKey(),)
        self.phase = RequestPhase.queued
        return (Enqueue(),)

    def claim_result_received(self, result: CommandResult) -> AttemptActions:
        """Handle the committed result of the claim."""
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
        """Refuse the request, as its claim was not committed."""
        if self.phase is not RequestPhase.claiming:
            return ()
        self.phase = RequestPhase.ended
        return (Refuse(no_quorum_refusal(detail)), ReleaseUnconfirmedClaim())

    def dispatched(self, upstream: str, address: str) -> AttemptActions:
        """Start an attempt at the chosen upstream."""
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
        """Handle a refusal by admission."""
        if self.phase is not RequestPhase.queued:
            return ()
        return self._end_with_refusal(refusal)

    def request_sent(self, attempt_number: int) -> None:
        """Record that the first byte is about to be written."""
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
        """Handle the response head of an attempt."""
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
        """Return the bytes to forward of a chunk, in phase `streaming`."""
        if (
            attempt_number != self.attempt_number
            or self.phase is not RequestPhase.streaming
        ):
            return b''
        if self.response.is_event_stream:
            return self.response.event_framer.feed(chunk)
        return chunk

    def buffer_chunk(self, attempt_number: int, chunk: bytes) -> AttemptActions:
        """Buffer a chunk of the response body, in phase `holding`."""
        if (
            attempt_number != self.attempt_number
            or self.phase is not RequestPhase.holding
        ):
            return ()
        self.response.buffered_body += chunk
        if not self.response.is_over_buffer_limit:
            return ()
        self.phase = RequestPhase.streaming
        body = SendBody(self.response.take_buffered_body())
        return (*self._start_response(), body)

    def body_ended(self, attempt_number: int) -> AttemptActions:
        """Handle the end of the response body."""
        if attempt_number != self.attempt_number:
            return ()
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
        """Handle a failed attempt.

        Without `has_sent_bytes` the attempt certainly did not run.
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
        """Close the attempt and queue the request again, where that is safe."""
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
        self._return_to_queue()
        tokens = self.response.event_framer.token_count
        return (close, RequestResume(delivered_tokens=tokens))

    def outcome_recorded(self) -> AttemptActions:
        """Send the response once its outcome is recorded, or takes too long."""
        if self.phase is not RequestPhase.recording:
            return ()
        return self._send_buffered_response()

    def deadline_passed(self) -> AttemptActions:
        """Refuse a request without a response; end a stream only if asked to.

        A stream that has begun ends only if the caller set the deadline. A
        response that is being recorded is complete and is still sent. A
        claimed call that may have run continues, to record its outcome.
        """
        if self.phase in {RequestPhase.ended, RequestPhase.recording}:
            return ()
        if not self.is_caller_connected:
            return ()
        if self.response.is_started and not self.properties.has_caller_deadline:
            return ()
        if self._is_outcome_needed and not self.response.is_started:
            self.is_caller_connected = False
            return (Refuse(self.evidence.apply_to_refusal(deadline_refusal())),)
        released = _release_resources(self)
        if self.response.event_framer.is_complete:
            return (*released, *self._end_relayed_body(AttemptFault.stalled))
        return (*released, *self._end_with_refusal(deadline_refusal()))

    def caller_disconnected(self) -> AttemptActions:
        """Stop the request of a caller that closed its connection.

        A claimed call that may have run continues, so that its outcome can
        be recorded for a resend.
        """
        if self.phase is RequestPhase.ended or not self.is_caller_connected:
            return ()
        self.is_caller_connected = False
        if self.phase is RequestPhase.recording or self._is_outcome_needed:
            return ()
        return self.abort()

    def abort(self) -> AttemptActions:
        """Stop the request, even if it continues only to record its outcome."""
        if self.phase in {RequestPhase.ended, RequestPhase.recording}:
            return ()
        self.is_caller_connected = False
        released = _release_resources(self)
        self.phase = RequestPhase.ended
        return (*released, *_end_claim(self))

    @property
    def _is_outcome_needed(self) -> bool:
        return self.claim_index > 0 and self.evidence.attempt_may_have_run

    def _start_response(self) -> AttemptActions:
        if self.response.is_started or not self.is_caller_connected:
            return ()
        self.response.is_started = True
        return (StartResponse(),)

    def _end_relayed_body(self, fault: AttemptFault) -> AttemptActions:
        """End a relayed body; an event stream fails without `[DONE]`."""
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
        """Close the attempt; request a retry where that is safe."""
        close = CloseAttempt(attempt_number=self.attempt_number, fault=fault)
        in_doubt = (
            self.evidence.may_have_run and not self.properties.is_idempotent
        )
        is_truncated = (
            self.response.is_started and not self.response.is_event_stream
        )
        if in_doubt or is_truncated or not self.is_caller_connected:
            refusal = failure_refusal(fault, in_doubt=in_doubt)
            return (close, *self._end_with_refusal(refusal))
        self._return_to_queue()
        retry = RequestRetry(failed_upstream=self._upstream, fault=fault)
        return (close, retry)

    def _return_to_queue(self) -> None:
        self.phase = RequestPhase.queued
        self.evidence.end_attempt()
        self.response.discard_undelivered()

    def _end_with_refusal(self, refusal: Refusal) -> AttemptActions:
        """End the request without a complete response."""
        self.phase = RequestPhase.ended
        final_refusal = self.evidence.apply_to_refusal(refusal)
        claim_actions = _end_claim(self)
        if not self.is_caller_connected:
            return claim_actions
        if not self.response.is_started:
            return (Refuse(final_refusal), *claim_actions)
        if self.response.is_event_stream:
            return (EndStreamWithError(final_refusal), *claim_actions)
        return (AbortCallerConnection(final_refusal), *claim_actions)


def _end_claim(machine: RequestStateMachine) -> AttemptActions:
    if not machine.claim_index:
        return ()
    return (EndKeyClaim(is_in_doubt=machine.evidence.may_have_run),)


def _release_resources(machine: RequestStateMachine) -> AttemptActions:
    if machine.phase in _ATTEMPT_PHASES:
        return (CloseAttempt(attempt_number=machine.attempt_number),)
    if machine.phase is RequestPhase.queued:
        return (AbandonQueued(),)
    if machine.phase is RequestPhase.claiming:
        return (ReleaseUnconfirmedClaim(),)
    return ()
