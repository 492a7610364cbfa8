"""The life of one request as a state machine.

Invariants:

- A non-idempotent request that was perhaps run is never sent again.
- `ran: no` is said only while no attempt was perhaps run.
- A claim is released only while no attempt was perhaps run; else its end is
  an outcome or in doubt.
- Events of an earlier attempt change nothing: a late answer reaches nobody.
- The caller receives a prefix of whole events; a resumed attempt starts
  after exactly the tokens in it.
"""

from typing import Final, final

from persimmonhold.attempts._abandon_queued import AbandonQueued
from persimmonhold.attempts._answer import Answer
from persimmonhold.attempts._answer_head import AnswerHead
from persimmonhold.attempts._attempt_action import AttemptActions
from persimmonhold.attempts._attempt_fault import AttemptFault
from persimmonhold.attempts._claim_key_action import ClaimIdempotencyKey
from persimmonhold.attempts._close_attempt import CloseAttempt
from persimmonhold.attempts._connect import Connect
from persimmonhold.attempts._end_key_claim import EndKeyClaim
from persimmonhold.attempts._enqueue import Enqueue
from persimmonhold.attempts._finish_answer import FinishAnswer
from persimmonhold.attempts._phase import Phase
from persimmonhold.attempts._ran_evidence import RanEvidence
from persimmonhold.attempts._refusals import (
    claim_refusal,
    deadline_refusal,
    failure_refusal,
    no_quorum_refusal,
)
from persimmonhold.attempts._refuse import (
    AbortCaller,
    EndStreamWithError,
    Refuse,
)
from persimmonhold.attempts._release_failed_claim import ReleaseFailedClaim
from persimmonhold.attempts._replay_outcome import ReplayOutcome
from persimmonhold.attempts._request_plan import RequestPlan
from persimmonhold.attempts._request_retry import RequestResume, RequestRetry
from persimmonhold.attempts._send_body import SendBody
from persimmonhold.attempts._start_answer import StartAnswer
from persimmonhold.control.machine import CommandResult, CommandStatus
from persimmonhold.failures import Refusal

_ATTEMPT_PHASES: Final = frozenset((
    Phase.connecting,
    Phase.sent,
    Phase.holding,
    Phase.streaming,
))


@final
class RequestLife:
    """Takes what happened to a request and returns what to do next."""

    __slots__ = (
        '_upstream',
        'answer',
        'attempt',
        'caller_present',
        'claim',
        'evidence',
        'phase',
        'plan',
    )

    def __init__(self, plan: RequestPlan) -> None:
        """Create the life of a request that has arrived."""
        self.plan = plan
        self.phase = Phase.arrived
        self.attempt = 0
        self.caller_present = True
        self.claim = 0
        self.evidence = RanEvidence()
        self.answer = Answer(plan)
        self._upstream = ''

    def arrive(self) -> AttemptActions:
        """Start: claim the key if there is one to claim."""
        if self.plan.claims:
            self.phase = Phase.claiming
            return (ClaimIdempotencyKey(),)
        self.phase = Phase.queued
        return (Enqueue(),)

    def claim_answered(self, answer: CommandResult) -> AttemptActions:
        """Take the committed result of the claim."""
        if self.phase is not Phase.claiming:
            return ()
        if answer.status is CommandStatus.claim_granted:
            self.claim = answer.claim
            self.phase = Phase.queued
            return (Enqueue(),)
        self.phase = Phase.ended
        completed = answer.status is CommandStatus.claim_completed
        if completed and answer.outcome is not None:
            return (ReplayOutcome(answer.outcome),)
        return (Refuse(claim_refusal(answer.status)),)

    def claim_failed(self, detail: str) -> AttemptActions:
        """Refuse: without a committed claim nothing is dispatched."""
        if self.phase is not Phase.claiming:
            return ()
        self.phase = Phase.ended
        return (Refuse(no_quorum_refusal(detail)), ReleaseFailedClaim())

    def dispatched(self, upstream: str, address: str) -> AttemptActions:
        """Start an attempt at the chosen upstream."""
        if self.phase is not Phase.queued:
            return ()
        self.phase = Phase.connecting
        self.attempt += 1
        self._upstream = upstream
        start = Connect(
            attempt=self.attempt,
            upstream=upstream,
            address=address,
            resume_offset=self.answer.events.tokens,
        )
        return (start,)

    def refused(self, refusal: Refusal) -> AttemptActions:
        """Take admission's refusal of this request."""
        if self.phase is not Phase.queued:
            return ()
        return self._give_up(refusal)

    def request_sent(self, attempt: int) -> None:
        """Note that the first byte is about to be written."""
        if attempt == self.attempt and self.phase is Phase.connecting:
            self.phase = Phase.sent
            self.evidence.attempt_ran = True

    def head_received(
        self,
        attempt: int,
        head: AnswerHead,
    ) -> AttemptActions:
        """Take the head of the answer."""
        if attempt != self.attempt or self.phase is not Phase.sent:
            return ()
        if head.not_run:
            self.evidence.attempt_ran = False
        if head.not_run and not head.is_client_error:
            return self._fail(AttemptFault.not_run)
        if self.answer.is_failure(head):
            return self._fail(AttemptFault.upstream_error)
        self.answer.head = head
        if self.answer.is_held(head):
            self.phase = Phase.holding
            return ()
        self.phase = Phase.streaming
        return self._start_answer()

    def relay(self, attempt: int, chunk: bytes) -> bytes:
        """Return what to forward of one read, in phase `streaming`."""
        if attempt != self.attempt or self.phase is not Phase.streaming:
            return b''
        if self.answer.is_event_stream:
            return self.answer.events.feed(chunk)
        return chunk

    def hold(self, attempt: int, chunk: bytes) -> AttemptActions:
        """Keep a part of the answer, in phase `holding`."""
        if attempt != self.attempt or self.phase is not Phase.holding:
            return ()
        self.answer.held += chunk
        if not self.answer.is_overlong:
            return ()
        self.phase = Phase.streaming
        held = SendBody(self.answer.take_held())
        return (*self._start_answer(), held)

    def body_ended(self, attempt: int) -> AttemptActions:
        """Take the end of the answer's body."""
        if attempt != self.attempt:
            return ()
        if self.phase is Phase.streaming:
            return self._end_stream(AttemptFault.stream_incomplete)
        if self.phase is not Phase.holding:
            return ()
        if not self.claim:
            return self._answer_whole()
        self.phase = Phase.recording
        return (EndKeyClaim(outcome=self.answer.outcome),)

    def attempt_failed(
        self,
        attempt: int,
        fault: AttemptFault,
        *,
        wrote: bool = True,
    ) -> AttemptActions:
        """Take the failure of an attempt; `wrote` any byte of it."""
        if attempt != self.attempt or self.phase not in _ATTEMPT_PHASES:
            return ()
        if not wrote:
            self.evidence.attempt_ran = False
        if self.answer.events.complete:
            return self._end_stream(fault)
        return self._fail(fault)

    def preempted(self) -> AttemptActions:
        """Stop the attempt and queue the request again."""
        if self.phase not in _ATTEMPT_PHASES or not self.plan.idempotent:
            return ()
        if self.answer.started and not self.answer.is_event_stream:
            return ()
        close = CloseAttempt(attempt=self.attempt)
        if self.answer.events.complete:
            return (close, *self._end_stream(AttemptFault.connection_lost))
        self._return_to_queue()
        tokens = self.answer.events.tokens
        return (close, RequestResume(delivered_tokens=tokens))

    def outcome_recorded(self) -> AttemptActions:
        """Answer a call whose outcome is recorded, or takes too long."""
        if self.phase is not Phase.recording:
            return ()
        return self._answer_whole()

    def deadline_passed(self) -> AttemptActions:
        """Refuse what has no answer yet; cut streams only if asked to.

        An answer that is being recorded is whole and is still given. A
        claimed call that was perhaps run goes on for its outcome.
        """
        if self.phase in {Phase.ended, Phase.recording}:
            return ()
        if not self.caller_present:
            return ()
        if self.answer.started and not self.plan.cuts_stream:
            return ()
        if self._is_worth_finishing and not self.answer.started:
            self.caller_present = False
            return (Refuse(self.evidence.state(deadline_refusal())),)
        released = _release_resources(self)
        if self.answer.events.complete:
            return (*released, *self._end_stream(AttemptFault.stalled))
        return (*released, *self._give_up(deadline_refusal()))

    def caller_gone(self) -> AttemptActions:
        """Stop working for a caller that left.

        A claimed call that was perhaps run goes on, so that its outcome
        can be recorded for a resend.
        """
        if self.phase is Phase.ended or not self.caller_present:
            return ()
        self.caller_present = False
        if self.phase is Phase.recording or self._is_worth_finishing:
            return ()
        return self.expire()

    def expire(self) -> AttemptActions:
        """Stop everything, also what goes on for its outcome alone."""
        if self.phase in {Phase.ended, Phase.recording}:
            return ()
        self.caller_present = False
        released = _release_resources(self)
        self.phase = Phase.ended
        return (*released, *_end_claim(self))

    @property
    def _is_worth_finishing(self) -> bool:
        return self.claim > 0 and self.evidence.attempt_ran

    def _start_answer(self) -> AttemptActions:
        if self.answer.started or not self.caller_present:
            return ()
        self.answer.started = True
        return (StartAnswer(),)

    def _end_stream(self, fault: AttemptFault) -> AttemptActions:
        """End a relayed body; a stream of events only after `[DONE]`."""
        if self.answer.is_event_stream and not self.answer.events.complete:
            return self._fail(fault)
        self.phase = Phase.ended
        if not self.claim:
            return (FinishAnswer(),)
        recorded = EndKeyClaim(outcome=self.answer.status_outcome)
        if not self.caller_present:
            return (recorded,)
        return (recorded, FinishAnswer())

    def _answer_whole(self) -> AttemptActions:
        self.phase = Phase.ended
        if not self.caller_present:
            return ()
        self.answer.started = True
        body = self.answer.take_held()
        start = StartAnswer(body_length=len(body))
        if not body:
            return (start, FinishAnswer())
        return (start, SendBody(body), FinishAnswer())

    def _fail(self, fault: AttemptFault) -> AttemptActions:
        """End the attempt; go on elsewhere where that is safe."""
        close = CloseAttempt(attempt=self.attempt, fault=fault)
        in_doubt = self.evidence.may_have_run and not self.plan.idempotent
        is_cut = self.answer.started and not self.answer.is_event_stream
        if in_doubt or is_cut or not self.caller_present:
            refusal = failure_refusal(fault, in_doubt=in_doubt)
            return (close, *self._give_up(refusal))
        self._return_to_queue()
        retry = RequestRetry(failed_upstream=self._upstream, fault=fault)
        return (close, retry)

    def _return_to_queue(self) -> None:
        self.phase = Phase.queued
        self.evidence.end_attempt()
        self.answer.restart()

    def _give_up(self, refusal: Refusal) -> AttemptActions:
        """End without a whole answer."""
        self.phase = Phase.ended
        told = self.evidence.state(refusal)
        ends = _end_claim(self)
        if not self.caller_present:
            return ends
        if not self.answer.started:
            return (Refuse(told), *ends)
        if self.answer.is_event_stream:
            return (EndStreamWithError(told), *ends)
        return (AbortCaller(told), *ends)


def _end_claim(life: RequestLife) -> AttemptActions:
    if not life.claim:
        return ()
    return (EndKeyClaim(in_doubt=life.evidence.may_have_run),)


def _release_resources(life: RequestLife) -> AttemptActions:
    if life.phase in _ATTEMPT_PHASES:
        return (CloseAttempt(attempt=life.attempt),)
    if life.phase is Phase.queued:
        return (AbandonQueued(),)
    if life.phase is Phase.claiming:
        return (ReleaseFailedClaim(),)
    return ()
