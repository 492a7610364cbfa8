"""The life of a request under every order of failures."""

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
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
    ControlMachine,
    EndClaim,
)
from persimmonhold.failures import Ran, Refusal, RefusalReason

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


class _GenerationMachine(RuleBasedStateMachine):
    """A stream whose attempts break, stall and are preempted anywhere."""

    def __init__(self) -> None:
        super().__init__()
        self.life = RequestLife(_GENERATION)
        self.delivered = b''
        self.source = b''
        self.connect: Connect | None = None
        self.ending: object = None

    def perform(self, actions: AttemptActions) -> None:
        for action in actions:
            if isinstance(action, Connect):
                self.connect = action
                self.source = _stream(action.resume_offset)
            if isinstance(action, (FinishAnswer, Refuse, EndStreamWithError)):
                assert_that(self.ending, Equals(None))
                self.ending = action

    @initialize()
    def arrive(self) -> None:
        self.perform(self.life.arrive())

    @precondition(lambda machine: machine.life.phase is Phase.queued)
    @rule()
    def dispatch(self) -> None:
        self.perform(self.life.dispatched('engine', 'address'))

    @precondition(lambda machine: machine.life.phase is Phase.connecting)
    @rule(taken=st.booleans())
    def connect_or_fail(self, taken: bool) -> None:
        attempt = self.life.attempt
        if taken:
            self.life.request_sent(attempt)
            self.perform(self.life.head_received(attempt, _STREAM))
        else:
            fault = AttemptFault.connect_failed
            self.perform(self.life.attempt_failed(attempt, fault, wrote=False))

    @precondition(lambda machine: machine.life.phase is Phase.streaming)
    @rule(size=st.integers(1, 60), late=st.booleans())
    def read(self, size: int, late: bool) -> None:
        chunk = self.source[:size]
        self.source = self.source[size:]
        if late:
            stale = self.life.relay(self.life.attempt - 1, b'data: stale\n\n')
            assert_that(stale, Equals(b''))
        self.delivered += self.life.relay(self.life.attempt, chunk)

    @precondition(lambda machine: machine.life.phase is Phase.streaming)
    @rule()
    def end_body(self) -> None:
        self.perform(self.life.body_ended(self.life.attempt))

    @rule(fault=st.sampled_from(list(AttemptFault)))
    def break_attempt(self, fault: AttemptFault) -> None:
        self.perform(self.life.attempt_failed(self.life.attempt, fault))

    @rule()
    def preempt(self) -> None:
        self.perform(self.life.preempted())

    @rule()
    def refuse(self) -> None:
        self.perform(self.life.refused(_FULL))

    @invariant()
    def delivered_is_a_prefix_of_whole_events(self) -> None:
        assert_that(_stream(0).startswith(self.delivered), Equals(True))
        whole = self.delivered in {b''} or self.delivered.endswith(b'\n\n')
        assert_that(whole, Equals(True))

    @invariant()
    def done_means_whole(self) -> None:
        if isinstance(self.ending, FinishAnswer):
            assert_that(self.delivered, Equals(_stream(0)))
        if isinstance(self.ending, Refuse):
            assert_that(self.delivered, Equals(b''))


class _CallMachine(RuleBasedStateMachine):
    """One key sent again and again, at entries that fail in every way.

    Control is the real state machine; the upstream counts executions.
    """

    def __init__(self) -> None:
        super().__init__()
        self.control = ControlMachine()
        self.lives: list[RequestLife] = []
        self.executions: dict[int, int] = {}
        self.told_not_run: set[int] = set()
        self.answers: set[bytes] = set()

    def propose(self, command: ClaimKey | EndClaim) -> object:
        return self.control.apply(self.control.state.index + 1, command)

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
        self.propose(end)
        self.perform(number, self.lives[number].outcome_recorded())

    @rule()
    def send(self) -> None:
        life = RequestLife(RequestPlan(idempotent=False, claims=True))
        self.lives.append(life)
        assert_that(life.arrive(), Equals((ClaimIdempotencyKey(),)))

    def choose(self, data: st.DataObject, *phases: Phase) -> int:
        numbers = [
            number
            for number, life in enumerate(self.lives)
            if life.phase in phases
        ]
        return data.draw(st.sampled_from(numbers)) if numbers else -1

    @rule(data=st.data(), cut=st.booleans())
    def claim(self, data: st.DataObject, cut: bool) -> None:
        number = self.choose(data, Phase.claiming)
        if number < 0:
            return
        life = self.lives[number]
        if cut:
            self.perform(number, life.claim_failed('no quorum'))
            return
        command = ClaimKey(
            at_ms=0,
            caller='',
            service='lodgements',
            key='one',
            content_digest='same',
            request_id=str(number),
            vm='vm',
        )
        result = self.control.apply(self.control.state.index + 1, command)
        self.perform(number, life.claim_answered(result))

    @rule(data=st.data())
    def dispatch(self, data: st.DataObject) -> None:
        number = self.choose(data, Phase.queued)
        if number >= 0:
            actions = self.lives[number].dispatched('replica', 'address')
            self.perform(number, actions)

    @rule(data=st.data(), executed=st.booleans())
    def write(self, data: st.DataObject, executed: bool) -> None:
        number = self.choose(data, Phase.connecting)
        if number < 0:
            return
        self.lives[number].request_sent(self.lives[number].attempt)
        if executed:
            self.executions[number] = self.executions.get(number, 0) + 1

    @rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        number = self.choose(data, Phase.sent)
        if number < 0:
            return
        life = self.lives[number]
        run = number in self.executions
        head = msgspec.structs.replace(_ANSWER, not_run=not run)
        self.perform(number, life.head_received(life.attempt, head))
        self.perform(number, life.hold(life.attempt, b'%d' % number))
        self.perform(number, life.body_ended(life.attempt))

    @rule(data=st.data(), fault=st.sampled_from(list(AttemptFault)))
    def fail(self, data: st.DataObject, fault: AttemptFault) -> None:
        number = self.choose(data, Phase.connecting, Phase.sent, Phase.holding)
        if number >= 0:
            life = self.lives[number]
            wrote = life.phase is not Phase.connecting
            actions = life.attempt_failed(life.attempt, fault, wrote=wrote)
            self.perform(number, actions)

    @rule(data=st.data(), event=st.integers(0, 3))
    def leave(self, data: st.DataObject, event: int) -> None:
        number = self.choose(data, *Phase)
        if number < 0:
            return
        life = self.lives[number]
        events = (
            life.caller_gone,
            life.deadline_passed,
            life.expire,
            lambda: life.refused(_FULL),
        )
        self.perform(number, events[event]())

    @invariant()
    def the_key_runs_at_most_once(self) -> None:
        assert_that(sum(self.executions.values()), LessThan(2))

    @invariant()
    def not_run_is_true(self) -> None:
        assert_that(self.told_not_run & set(self.executions), Equals(set()))

    @invariant()
    def every_answer_is_that_of_the_one_execution(self) -> None:
        expected = {b'%d' % number for number in self.executions}
        assert_that(self.answers - expected, Equals(set()))


_RUNS = settings(max_examples=150, stateful_step_count=40)
_GenerationMachine.TestCase.settings = _RUNS
_CallMachine.TestCase.settings = _RUNS
test_stream_has_no_token_lost_or_doubled = _GenerationMachine.TestCase
test_key_runs_at_most_once = _CallMachine.TestCase


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
    ],
)
def test_claim_that_is_not_granted_is_refused(
    status: CommandStatus,
    reason: RefusalReason,
    ran: Ran,
) -> None:
    life = RequestLife(RequestPlan(idempotent=False, claims=True))
    life.arrive()
    answered = ControlMachine().apply(1, _claim())
    result = msgspec.structs.replace(answered, status=status)
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
    assert_that(recorded.outcome.media_type, Equals(''))
    assert_that(finish, Equals(FinishAnswer()))
