"""The life of a request under every order of failures."""

from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

from persimmonhold.attempts import (
    AnswerHead,
    AttemptActions,
    AttemptFault,
    ClaimIdempotencyKey,
    CloseAttempt,
    Connect,
    EndKeyClaim,
    EndStreamWithError,
    EventCutter,
    FinishAnswer,
    Phase,
    Refuse,
    ReplayOutcome,
    RequestLife,
    RequestPlan,
    RequestResume,
    RequestRetry,
    SendBody,
)
from persimmonhold.control.machine import (
    ClaimKey,
    CommandStatus,
    ControlStateMachine,
    EndClaim,
)
from persimmonhold.failures import Ran, Refusal, RefusalReason
from persimmonhold.messages import CallOutcome

_TOKENS = 6
_STREAM = AnswerHead(status=200, media_type='text/event-stream')
_ANSWER = AnswerHead(status=200, media_type='application/json')
_FULL = Refusal(reason=RefusalReason.retry_budget_spent, ran=Ran.no)
_GENERATION = RequestPlan(idempotent=True, is_generation=True, streams=True)


def _event(index: int) -> bytes:
    return b'data: {"token": %d}\n\n' % index


def _stream(offset: int) -> bytes:
    tokens = b''.join(_event(index) for index in range(offset, _TOKENS))
    return tokens + b'data: [DONE]\n\n'


class _Stream:
    """A stream whose attempts break, stall and are preempted anywhere."""

    def __init__(self) -> None:
        self.life = RequestLife(_GENERATION)
        self.delivered = b''
        self.source = b''
        self.ending: object = None
        self.perform(self.life.arrive())

    def perform(self, actions: AttemptActions) -> None:
        for action in actions:
            if isinstance(action, Connect):
                self.source = _stream(action.resume_offset)
            if isinstance(action, (FinishAnswer, Refuse, EndStreamWithError)):
                assert_that(self.ending, Equals(None))
                self.ending = action

    def step(self, choice: int) -> None:
        """Let one of the events happen that may happen now."""
        events = {
            Phase.queued: (self.dispatch, self.dispatch, self.refuse),
            Phase.connecting: (self.connect, self.connect, self.lose),
            Phase.streaming: (self.read, self.read, self.end, self.lose),
            Phase.ended: (self.lose, self.end),
        }[self.life.phase]
        if choice % 17 == 0:
            self.perform(self.life.preempted())
        else:
            events[choice % len(events)](choice)

    def dispatch(self, choice: int) -> None:
        self.perform(self.life.dispatched('engine', 'address'))

    def connect(self, choice: int) -> None:
        self.life.request_sent(self.life.attempt)
        actions = self.life.head_received(self.life.attempt, _STREAM)
        self.perform(actions)

    def lose(self, choice: int) -> None:
        fault = list(AttemptFault)[choice % len(AttemptFault)]
        actions = self.life.attempt_failed(
            self.life.attempt,
            fault,
            wrote=self.life.phase is not Phase.connecting,
        )
        self.perform(actions)

    def read(self, choice: int) -> None:
        chunk = self.source[: choice % 61]
        self.source = self.source[choice % 61 :]
        stale = self.life.relay(self.life.attempt - 1, b'data: late\n\n')
        assert_that(stale, Equals(b''))
        self.delivered += self.life.relay(self.life.attempt, chunk)

    def end(self, choice: int) -> None:
        self.perform(self.life.body_ended(self.life.attempt))

    def refuse(self, choice: int) -> None:
        self.perform(self.life.refused(_FULL))

    def check(self) -> None:
        """Only whole events, in order, and [DONE] for a whole stream."""
        assert_that(_stream(0).startswith(self.delivered), Equals(True))
        whole = not self.delivered or self.delivered.endswith(b'\n\n')
        assert_that(whole, Equals(True))
        if isinstance(self.ending, FinishAnswer):
            assert_that(self.delivered, Equals(_stream(0)))
        if isinstance(self.ending, Refuse):
            assert_that(self.delivered, Equals(b''))


class _Calls:
    """One key sent again and again, at entries that fail in every way.

    Control is the real state machine; `executions` counts, by request,
    what the upstream ran.
    """

    def __init__(self) -> None:
        self.control = ControlStateMachine()
        self.lives: list[RequestLife] = []
        self.executions: dict[int, int] = {}
        self.told_not_run: set[int] = set()
        self.answers: set[bytes] = set()

    def perform(self, number: int, actions: AttemptActions) -> None:
        for action in actions:
            if isinstance(action, EndKeyClaim):
                self.end_claim(number, action)
            if isinstance(action, Refuse) and action.refusal.ran is Ran.no:
                self.told_not_run.add(number)
            if isinstance(action, SendBody):
                self.answers.add(action.body)
            if isinstance(action, ReplayOutcome):
                self.answers.add(action.outcome.body)

    def end_claim(self, number: int, action: EndKeyClaim) -> None:
        end = EndClaim(
            at_ms=0,
            claim=self.lives[number].claim,
            request_id=str(number),
            outcome=action.outcome,
            in_doubt=action.in_doubt,
        )
        self.control.apply(self.control.state.index + 1, end)
        self.perform(number, self.lives[number].outcome_recorded())

    def send(self) -> None:
        life = RequestLife(RequestPlan(idempotent=False, claims=True))
        self.lives.append(life)
        assert_that(life.arrive(), Equals((ClaimIdempotencyKey(),)))

    def step(self, which: int, choice: int) -> None:
        """Let an event of one of the requests happen."""
        if not self.lives or choice % 11 == 0:
            self.send()
            return
        number = which % len(self.lives)
        life = self.lives[number]
        steps = {
            Phase.claiming: self.claim,
            Phase.queued: self.dispatch,
            Phase.connecting: self.write,
            Phase.sent: self.answer,
        }
        if choice % 5 == 0 or life.phase not in steps:
            self.disturb(number, choice)
        else:
            steps[life.phase](number, choice)

    def claim(self, number: int, choice: int) -> None:
        life = self.lives[number]
        if choice % 4 == 0:
            self.perform(number, life.claim_failed('no quorum'))
            return
        command = msgspec.structs.replace(_claim(), request_id=str(number))
        result = self.control.apply(self.control.state.index + 1, command)
        self.perform(number, life.claim_answered(result))

    def dispatch(self, number: int, choice: int) -> None:
        actions = self.lives[number].dispatched('replica', 'address')
        self.perform(number, actions)

    def write(self, number: int, choice: int) -> None:
        self.lives[number].request_sent(self.lives[number].attempt)
        if choice % 3:
            self.executions[number] = self.executions.get(number, 0) + 1

    def answer(self, number: int, choice: int) -> None:
        life = self.lives[number]
        run = number in self.executions
        head = msgspec.structs.replace(_ANSWER, not_run=not run)
        self.perform(number, life.head_received(life.attempt, head))
        if choice % 3 == 0:
            self.disturb(number, choice // 3)
        self.perform(number, life.hold(life.attempt, b'%d' % number))
        self.perform(number, life.body_ended(life.attempt))

    def disturb(self, number: int, choice: int) -> None:
        """Let the upstream, the caller, the clock or admission fail."""
        life = self.lives[number]
        fault = list(AttemptFault)[choice % len(AttemptFault)]
        wrote = life.phase is not Phase.connecting
        events: tuple[Callable[[], AttemptActions], ...] = (
            life.caller_gone,
            life.deadline_passed,
            life.expire,
            lambda: life.refused(_FULL),
            lambda: life.attempt_failed(life.attempt, fault, wrote=wrote),
        )
        self.perform(number, events[choice // 7 % len(events)]())

    def check(self) -> None:
        """One execution at most; each answer is that execution's."""
        assert_that(sum(self.executions.values()), LessThan(2))
        run = set(self.executions)
        assert_that(self.told_not_run & run, Equals(set()))
        expected = {b'%d' % number for number in run}
        assert_that(self.answers - expected, Equals(set()))


_CHOICES = st.integers(0, 10_000)


@settings(max_examples=300)
@given(st.lists(_CHOICES, min_size=20, max_size=60))
def test_stream_has_no_token_lost_or_doubled(choices: list[int]) -> None:
    stream = _Stream()
    for choice in choices:
        stream.step(choice)
        stream.check()


@settings(max_examples=300)
@given(st.lists(st.tuples(_CHOICES, _CHOICES), min_size=20, max_size=60))
def test_key_runs_at_most_once(choices: list[tuple[int, int]]) -> None:
    calls = _Calls()
    for which, choice in choices:
        calls.step(which, choice)
        calls.check()


def _sent(plan: RequestPlan, claim: int = 0) -> RequestLife:
    life = RequestLife(plan)
    life.arrive()
    life.phase = Phase.queued
    life.claim = claim
    life.dispatched('upstream', 'address')
    life.request_sent(life.attempt)
    return life


@pytest.mark.parametrize(
    ('idempotent', 'fault', 'wrote', 'expected'),
    [
        (False, AttemptFault.connect_failed, False, RequestRetry),
        (False, AttemptFault.connection_lost, False, RequestRetry),
        (False, AttemptFault.connection_lost, True, Refuse),
        (False, AttemptFault.stalled, True, Refuse),
        (True, AttemptFault.stalled, True, RequestRetry),
        (True, AttemptFault.connection_lost, True, RequestRetry),
    ],
)
def test_only_what_cannot_have_run_is_sent_again(
    idempotent: bool,
    fault: AttemptFault,
    wrote: bool,
    expected: type,
) -> None:
    life = _sent(RequestPlan(idempotent=idempotent))
    actions = life.attempt_failed(life.attempt, fault, wrote=wrote)
    assert_that([type(action) for action in actions], Contains(expected))


@pytest.mark.parametrize(
    ('status', 'reason', 'ran'),
    [
        (
            CommandStatus.claim_conflict,
            RefusalReason.idempotency_key_conflict,
            Ran.no,
        ),
        (
            CommandStatus.claim_held,
            RefusalReason.outcome_unknown,
            Ran.unknown,
        ),
        (
            CommandStatus.claim_in_doubt,
            RefusalReason.outcome_unknown,
            Ran.unknown,
        ),
        (
            CommandStatus.claim_table_full,
            RefusalReason.no_capacity,
            Ran.no,
        ),
    ],
)
def test_claim_that_is_not_granted_is_refused(
    status: CommandStatus,
    reason: RefusalReason,
    ran: Ran,
) -> None:
    life = RequestLife(RequestPlan(idempotent=False, claims=True))
    life.arrive()
    answered = ControlStateMachine().apply(1, _claim())
    result = msgspec.structs.replace(
        answered,
        status=status,
        outcome=CallOutcome(status=200, media_type='', body=b'other'),
    )
    action = life.claim_answered(result)[0]
    assert isinstance(action, Refuse)
    assert_that(action.refusal.reason, Equals(reason))
    assert_that(action.refusal.ran, Equals(ran))


def _claim() -> ClaimKey:
    return ClaimKey(
        at_ms=0,
        caller='',
        service='lodgements',
        key='one',
        content_digest='same',
        request_id='request',
        vm='vm',
    )


def test_claimed_call_goes_on_when_the_caller_left() -> None:
    life = _sent(RequestPlan(idempotent=False, claims=True), claim=4)
    assert_that(life.caller_gone(), Equals(()))
    life.head_received(life.attempt, _ANSWER)
    life.hold(life.attempt, b'posted')
    recorded = life.body_ended(life.attempt)[0]
    assert isinstance(recorded, EndKeyClaim)
    assert recorded.outcome is not None
    assert_that(recorded.outcome.body, Equals(b'posted'))
    assert_that(life.outcome_recorded(), Equals(()))


def test_unclaimed_call_is_cancelled_when_the_caller_left() -> None:
    life = _sent(RequestPlan(idempotent=False))
    assert_that(life.caller_gone(), Equals((CloseAttempt(attempt=1),)))


def test_preempted_stream_resumes_after_the_delivered_tokens() -> None:
    life = _sent(_GENERATION)
    life.head_received(life.attempt, _STREAM)
    life.relay(life.attempt, _event(0) + _event(1) + b'data: {"tok')
    assert_that(
        life.preempted()[1:],
        Equals((RequestResume(delivered_tokens=2),)),
    )
    connect = life.dispatched('other', 'address')[0]
    assert isinstance(connect, Connect)
    assert_that(connect.resume_offset, Equals(2))


@pytest.mark.parametrize(
    ('cuts_stream', 'expected'),
    [(True, EndStreamWithError), (False, None)],
)
def test_deadline_cuts_a_stream_only_if_the_caller_set_it(
    cuts_stream: bool,
    expected: type | None,
) -> None:
    life = _sent(msgspec.structs.replace(_GENERATION, cuts_stream=cuts_stream))
    life.head_received(life.attempt, _STREAM)
    kinds = [type(action) for action in life.deadline_passed()]
    assert_that(kinds[1:], Equals([expected] if expected else []))


def test_error_event_breaks_the_stream_and_is_not_passed_on() -> None:
    cutter = EventCutter()
    passed = cutter.feed(_event(0) + b'event: error\ndata: {}\n\n')
    assert_that(passed, Equals(_event(0)))
    assert_that(cutter.failed, Equals(True))
    assert_that(cutter.tokens, Equals(1))


def test_overlong_answer_to_a_claimed_call_is_recorded_by_status() -> None:
    life = _sent(RequestPlan(idempotent=False, claims=True), claim=4)
    life.head_received(life.attempt, _ANSWER)
    life.hold(life.attempt, b'x' * 300_000)
    recorded, finish = life.body_ended(life.attempt)
    assert isinstance(recorded, EndKeyClaim)
    assert recorded.outcome is not None
    assert_that(recorded.outcome.body_stored, Equals(False))
    assert_that(finish, Equals(FinishAnswer()))


def test_refusal_after_a_failed_attempt_does_not_say_not_run() -> None:
    life = _sent(RequestPlan(idempotent=True))
    life.attempt_failed(life.attempt, AttemptFault.stalled)
    refused = life.refused(_FULL)[0]
    assert isinstance(refused, Refuse)
    assert_that(refused.refusal.ran, Equals(Ran.unknown))
