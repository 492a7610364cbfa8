"""The request state machine under every order of failures."""

from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

from persimmonhold.attempts import (
    AbortCallerConnection,
    AttemptActions,
    AttemptFault,
    ClaimIdempotencyKey,
    CloseAttempt,
    Connect,
    EndKeyClaim,
    EndStreamWithError,
    EventFramer,
    FinishResponse,
    Refuse,
    ReplayOutcome,
    RequestPhase,
    RequestProperties,
    RequestResume,
    RequestRetry,
    RequestStateMachine,
    SendBody,
    UpstreamResponseHead,
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
_STREAM = UpstreamResponseHead(status=200, media_type='text/event-stream')
_ANSWER = UpstreamResponseHead(status=200, media_type='application/json')
_FULL = Refusal(reason=RefusalReason.retry_budget_spent, ran=Ran.no)
_GENERATION = RequestProperties(
    is_idempotent=True, is_generation=True, is_streamed=True
)


def _event(index: int) -> bytes:
    return b'data: {"token": %d}\n\n' % index


def _stream(offset: int) -> bytes:
    tokens = b''.join(_event(index) for index in range(offset, _TOKENS))
    return tokens + b'data: [DONE]\n\n'


class _StreamScenario:
    """A stream whose attempts break, stall and are preempted anywhere."""

    def __init__(self) -> None:
        self.machine = RequestStateMachine(_GENERATION)
        self.delivered = b''
        self.source = b''
        self.ending: object = None
        self.perform(self.machine.start())

    def perform(self, actions: AttemptActions) -> None:
        for action in actions:
            if isinstance(action, Connect):
                self.source = _stream(action.resume_offset)
            if isinstance(action, (FinishResponse, Refuse, EndStreamWithError)):
                assert_that(self.ending, Equals(None))
                self.ending = action

    def step(self, choice: int) -> None:
        """Trigger one of the events that are possible in this phase."""
        events = {
            RequestPhase.queued: (self.dispatch, self.dispatch, self.refuse),
            RequestPhase.connecting: (self.connect, self.connect, self.lose),
            RequestPhase.streaming: (self.read, self.read, self.end, self.lose),
            RequestPhase.ended: (self.lose, self.end),
        }[self.machine.phase]
        if choice % 17 == 0:
            self.perform(self.machine.preempted())
        else:
            events[choice % len(events)](choice)

    def dispatch(self, choice: int) -> None:
        self.perform(self.machine.dispatched('engine', 'address'))

    def connect(self, choice: int) -> None:
        self.machine.request_sent(self.machine.attempt_number)
        actions = self.machine.head_received(
            self.machine.attempt_number, _STREAM
        )
        self.perform(actions)

    def lose(self, choice: int) -> None:
        fault = list(AttemptFault)[choice % len(AttemptFault)]
        actions = self.machine.attempt_failed(
            self.machine.attempt_number,
            fault,
            has_sent_bytes=self.machine.phase is not RequestPhase.connecting,
        )
        self.perform(actions)

    def read(self, choice: int) -> None:
        chunk = self.source[: choice % 61]
        self.source = self.source[choice % 61 :]
        stale = self.machine.relay_chunk(
            self.machine.attempt_number - 1, b'data: late\n\n'
        )
        assert_that(stale, Equals(b''))
        self.delivered += self.machine.relay_chunk(
            self.machine.attempt_number, chunk
        )

    def end(self, choice: int) -> None:
        self.perform(self.machine.body_ended(self.machine.attempt_number))

    def refuse(self, choice: int) -> None:
        self.perform(self.machine.refused(_FULL))

    def check(self) -> None:
        """Check for complete events, in order, and [DONE] at the end."""
        assert_that(_stream(0).startswith(self.delivered), Equals(True))
        whole = not self.delivered or self.delivered.endswith(b'\n\n')
        assert_that(whole, Equals(True))
        if isinstance(self.ending, FinishResponse):
            assert_that(self.delivered, Equals(_stream(0)))
        if isinstance(self.ending, Refuse):
            assert_that(self.delivered, Equals(b''))


class _CallScenario:
    """One key sent repeatedly, at entries that fail in every way.

    Control is the real state machine; `executions` counts the executions at
    the upstream by request.
    """

    def __init__(self) -> None:
        self.control = ControlStateMachine()
        self.machines: list[RequestStateMachine] = []
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
            claim=self.machines[number].claim_index,
            request_id=str(number),
            outcome=action.outcome,
            in_doubt=action.is_in_doubt,
        )
        self.control.apply(self.control.state.index + 1, end)
        self.perform(number, self.machines[number].outcome_recorded())

    def send(self) -> None:
        machine = RequestStateMachine(
            RequestProperties(is_idempotent=False, has_claimable_key=True)
        )
        self.machines.append(machine)
        assert_that(machine.start(), Equals((ClaimIdempotencyKey(),)))

    def step(self, which: int, choice: int) -> None:
        """Trigger an event of one of the requests."""
        if not self.machines or choice % 11 == 0:
            self.send()
            return
        number = which % len(self.machines)
        machine = self.machines[number]
        steps = {
            RequestPhase.claiming: self.claim,
            RequestPhase.queued: self.dispatch,
            RequestPhase.connecting: self.write,
            RequestPhase.sent: self.answer,
        }
        if choice % 5 == 0 or machine.phase not in steps:
            self.disturb(number, choice)
        else:
            steps[machine.phase](number, choice)

    def claim(self, number: int, choice: int) -> None:
        machine = self.machines[number]
        if choice % 4 == 0:
            self.perform(number, machine.claim_failed('no quorum'))
            return
        command = msgspec.structs.replace(_claim(), request_id=str(number))
        result = self.control.apply(self.control.state.index + 1, command)
        self.perform(number, machine.claim_result_received(result))

    def dispatch(self, number: int, choice: int) -> None:
        actions = self.machines[number].dispatched('replica', 'address')
        self.perform(number, actions)

    def write(self, number: int, choice: int) -> None:
        self.machines[number].request_sent(self.machines[number].attempt_number)
        if choice % 3:
            self.executions[number] = self.executions.get(number, 0) + 1

    def answer(self, number: int, choice: int) -> None:
        machine = self.machines[number]
        run = number in self.executions
        head = msgspec.structs.replace(_ANSWER, is_not_run=not run)
        self.perform(
            number, machine.head_received(machine.attempt_number, head)
        )
        if choice % 3 == 0:
            self.disturb(number, choice // 3)
        self.perform(
            number, machine.buffer_chunk(machine.attempt_number, b'%d' % number)
        )
        self.perform(number, machine.body_ended(machine.attempt_number))

    def disturb(self, number: int, choice: int) -> None:
        """Let the upstream, the caller, the clock or admission fail."""
        machine = self.machines[number]
        fault = list(AttemptFault)[choice % len(AttemptFault)]
        wrote = machine.phase is not RequestPhase.connecting
        events: tuple[Callable[[], AttemptActions], ...] = (
            machine.caller_disconnected,
            machine.deadline_passed,
            machine.abort,
            lambda: machine.refused(_FULL),
            lambda: machine.attempt_failed(
                machine.attempt_number, fault, has_sent_bytes=wrote
            ),
        )
        self.perform(number, events[choice // 7 % len(events)]())

    def check(self) -> None:
        """Check for at most one execution, whose result is every response."""
        assert_that(sum(self.executions.values()), LessThan(2))
        run = set(self.executions)
        assert_that(self.told_not_run & run, Equals(set()))
        expected = {b'%d' % number for number in run}
        assert_that(self.answers - expected, Equals(set()))


_CHOICES = st.integers(0, 10_000)


@settings(max_examples=300)
@given(st.lists(_CHOICES, min_size=20, max_size=60))
def test_stream_has_no_token_lost_or_doubled(choices: list[int]) -> None:
    stream = _StreamScenario()
    for choice in choices:
        stream.step(choice)
        stream.check()


@settings(max_examples=300)
@given(st.lists(st.tuples(_CHOICES, _CHOICES), min_size=20, max_size=60))
def test_key_runs_at_most_once(choices: list[tuple[int, int]]) -> None:
    calls = _CallScenario()
    for which, choice in choices:
        calls.step(which, choice)
        calls.check()


def _sent(plan: RequestProperties, claim: int = 0) -> RequestStateMachine:
    machine = RequestStateMachine(plan)
    machine.start()
    machine.phase = RequestPhase.queued
    machine.claim_index = claim
    machine.dispatched('upstream', 'address')
    machine.request_sent(machine.attempt_number)
    return machine


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
    machine = _sent(RequestProperties(is_idempotent=idempotent))
    actions = machine.attempt_failed(
        machine.attempt_number, fault, has_sent_bytes=wrote
    )
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
    machine = RequestStateMachine(
        RequestProperties(is_idempotent=False, has_claimable_key=True)
    )
    machine.start()
    answered = ControlStateMachine().apply(1, _claim())
    result = msgspec.structs.replace(
        answered,
        status=status,
        outcome=CallOutcome(status=200, media_type='', body=b'other'),
    )
    action = machine.claim_result_received(result)[0]
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
    machine = _sent(
        RequestProperties(is_idempotent=False, has_claimable_key=True), claim=4
    )
    assert_that(machine.caller_disconnected(), Equals(()))
    machine.head_received(machine.attempt_number, _ANSWER)
    machine.buffer_chunk(machine.attempt_number, b'posted')
    recorded = machine.body_ended(machine.attempt_number)[0]
    assert isinstance(recorded, EndKeyClaim)
    assert recorded.outcome is not None
    assert_that(recorded.outcome.body, Equals(b'posted'))
    assert_that(machine.outcome_recorded(), Equals(()))


def test_unclaimed_call_is_cancelled_when_the_caller_left() -> None:
    machine = _sent(RequestProperties(is_idempotent=False))
    assert_that(
        machine.caller_disconnected(), Equals((CloseAttempt(attempt_number=1),))
    )


def test_preempted_stream_resumes_after_the_delivered_tokens() -> None:
    machine = _sent(_GENERATION)
    machine.head_received(machine.attempt_number, _STREAM)
    machine.relay_chunk(
        machine.attempt_number, _event(0) + _event(1) + b'data: {"tok'
    )
    assert_that(
        machine.preempted()[1:],
        Equals((RequestResume(delivered_tokens=2),)),
    )
    connect = machine.dispatched('other', 'address')[0]
    assert isinstance(connect, Connect)
    assert_that(connect.resume_offset, Equals(2))


@pytest.mark.parametrize(
    ('has_caller_deadline', 'expected'),
    [(True, EndStreamWithError), (False, None)],
)
def test_deadline_cuts_a_stream_only_if_the_caller_set_it(
    has_caller_deadline: bool,
    expected: type | None,
) -> None:
    machine = _sent(
        msgspec.structs.replace(
            _GENERATION, has_caller_deadline=has_caller_deadline
        )
    )
    machine.head_received(machine.attempt_number, _STREAM)
    kinds = [type(action) for action in machine.deadline_passed()]
    assert_that(kinds[1:], Equals([expected] if expected else []))


def test_error_event_breaks_the_stream_and_is_not_passed_on() -> None:
    cutter = EventFramer()
    passed = cutter.feed(_event(0) + b'event: error\ndata: {}\n\n')
    assert_that(passed, Equals(_event(0)))
    assert_that(cutter.has_failed, Equals(True))
    assert_that(cutter.token_count, Equals(1))


def test_overlong_answer_to_a_claimed_call_is_recorded_by_status() -> None:
    machine = _sent(
        RequestProperties(is_idempotent=False, has_claimable_key=True), claim=4
    )
    machine.head_received(machine.attempt_number, _ANSWER)
    machine.buffer_chunk(machine.attempt_number, b'x' * 300_000)
    recorded, finish = machine.body_ended(machine.attempt_number)
    assert isinstance(recorded, EndKeyClaim)
    assert recorded.outcome is not None
    assert_that(recorded.outcome.body_stored, Equals(False))
    assert_that(finish, Equals(FinishResponse()))


def test_refusal_after_a_failed_attempt_does_not_say_not_run() -> None:
    machine = _sent(RequestProperties(is_idempotent=True))
    machine.attempt_failed(machine.attempt_number, AttemptFault.stalled)
    refused = machine.refused(_FULL)[0]
    assert isinstance(refused, Refuse)
    assert_that(refused.refusal.ran, Equals(Ran.unknown))


@pytest.mark.parametrize('has_length', [True, False])
@pytest.mark.parametrize('received', [b'data: x\n\ndata', b'data: x\n', b''])
def test_service_stream_that_breaks_off_is_not_finished(
    received: bytes, has_length: bool
) -> None:
    machine = RequestStateMachine(
        RequestProperties(
            is_idempotent=False, is_generation=False, is_streamed=False
        )
    )
    machine.start()
    machine.dispatched('service', 'address')
    machine.request_sent(1)
    head = UpstreamResponseHead(
        status=200,
        media_type='text/event-stream',
        content_length=len(received) if has_length and received else None,
        ends_with_connection=not has_length or not received,
    )
    machine.head_received(1, head)
    machine.buffer_chunk(1, received)
    machine.relay_chunk(1, received)
    actions = machine.body_ended(1)
    endings = [type(action) for action in actions]
    assert_that(FinishResponse in endings, Equals(False))
    is_ended = {Refuse, AbortCallerConnection} & set(endings)
    assert_that(len(is_ended), Equals(1))


def _lose_attempt(machine: RequestStateMachine, delivered: bytes) -> object:
    machine.dispatched('engine', 'address')
    number = machine.attempt_number
    machine.request_sent(number)
    if delivered:
        machine.head_received(number, _STREAM)
        machine.relay_chunk(number, delivered)
    actions = machine.attempt_failed(number, AttemptFault.connection_lost)
    return type(actions[-1])


def test_request_under_which_upstreams_are_lost_is_not_sent_on_and_on() -> None:
    machine = RequestStateMachine(_GENERATION)
    machine.start()
    endings = [_lose_attempt(machine, b'') for _ in range(3)]
    assert_that(endings, Equals([RequestRetry, RequestRetry, Refuse]))


def test_stream_that_goes_on_survives_the_loss_of_many_upstreams() -> None:
    machine = RequestStateMachine(_GENERATION)
    machine.start()
    endings = [_lose_attempt(machine, _event(index)) for index in range(6)]
    assert_that(set(endings), Equals({RequestRetry}))
