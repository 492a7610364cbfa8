"""Tests of the control state machine: commands, claims, snapshots."""

from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not

from persimmonhold.catalogue import Catalogue, ModelEntry
from persimmonhold.control.machine import (
    ClaimKey,
    Command,
    CommandResult,
    CommandStatus,
    ControlStateMachine,
    DeleteEntry,
    DigestSet,
    DrainVm,
    EndClaim,
    PutEntry,
    RecordCopy,
    RecordFleetController,
    RegisterVm,
    StateMachineLimits,
    ViewState,
    verify_history,
    view_digest,
)
from persimmonhold.messages import CallOutcome, Copy, CopyState, VmRecord

_LIMITS = StateMachineLimits(
    max_commands=8,
    command_retention_ms=1000,
    max_claims=6,
    claim_retention_ms=50,
    max_outcome_bytes=4,
    max_stored_outcome_bytes=10,
    change_log_length=5,
)


class Replica:
    """A state machine that assigns its own log indexes."""

    def __init__(self, limits: StateMachineLimits | None = None) -> None:
        """Create a replica with an empty state."""
        self.machine = ControlStateMachine(limits=limits)
        self.last: CommandResult | None = None

    def apply(self, command: Command) -> CommandResult:
        """Apply a command at the next index, encoded and decoded as in the log."""
        index = self.machine.state.index + 1
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(command),
            type=Command,
        )
        self.last = self.machine.apply(index, decoded)
        return self.last

    def reload(self) -> None:
        """Restore the state from its own snapshot."""
        self.machine.restore(self.machine.snapshot())


@pytest.fixture
def replica() -> Replica:
    return Replica()


def _put(
    name: str,
    expected: int,
    operator: str = 'aoi',
    command_id: str = '1',
    weight: int = 1,
    at_ms: int = 1,
) -> PutEntry:
    entry = ModelEntry(
        name=name,
        owner='levy',
        version='1',
        weight_bytes=weight,
        kv_floor_bytes=0,
    )
    return PutEntry(
        operator=operator,
        command_id=command_id,
        at_ms=at_ms,
        expected_revision=expected,
        entry=entry,
    )


def _claim(request: str, key: str = 'k', **changes: object) -> ClaimKey:
    claim = ClaimKey(
        at_ms=1,
        caller='kiln',
        service='lodgements',
        key=key,
        content_digest='d',
        request_id=request,
        vm='vm1',
    )
    return msgspec.structs.replace(claim, **changes)


def _outcome(body: bytes = b'ok') -> CallOutcome:
    return CallOutcome(status=200, media_type='text/plain', body=body)


def test_two_operators_with_equal_ids_race(replica: Replica) -> None:
    first = replica.apply(_put('m', 0, 'aoi', '7'))
    second = replica.apply(_put('m', 0, 'bram', '7', weight=2))
    assert_that(first.status, Equals(CommandStatus.done))
    assert_that(second.status, Equals(CommandStatus.revision_conflict))
    assert_that(second.entry_revision, Equals(first.entry_revision))
    assert_that(replica.machine.state.history, HasLength(1))


def test_resend_gets_the_first_answer_however_late(replica: Replica) -> None:
    command = _put('m', 0, command_id='first')
    refused = _put('m', 99, command_id='refused')
    answers = [replica.apply(command), replica.apply(refused)]
    for number in range(400):
        revision = replica.machine.state.catalogue.entry_revision('m')
        replica.apply(_put('m', revision, command_id=f'id-{number}'))
        if number % 100 == 0:
            replica.reload()
    later = [msgspec.structs.replace(command, at_ms=9), refused]
    assert_that([replica.apply(again) for again in later], Equals(answers))
    assert_that(replica.machine.state.history, HasLength(401))
    reused = replica.apply(_put('m', 0, command_id='first', weight=5))
    assert_that(reused.status, Equals(CommandStatus.command_id_reused))


@pytest.mark.parametrize('reloads', [False, True])
def test_expired_id_never_runs_again(reloads: bool) -> None:
    replica = Replica(_LIMITS)
    create = _put('m', 0, command_id='create')
    replica.apply(create)
    deletion = DeleteEntry(
        operator='aoi',
        command_id='delete',
        at_ms=2,
        expected_revision=1,
        name='m',
    )
    replica.apply(deletion)
    for number in range(20):
        replica.apply(_put(f'other-{number}', 0, command_id=f'o{number}'))
    if reloads:
        replica.reload()
    again = replica.apply(create)
    assert_that(again.status, Equals(CommandStatus.command_expired))
    assert_that(replica.machine.state.catalogue.find('m'), Equals(None))


def test_wrong_clock_expires_little(replica: Replica) -> None:
    first = replica.apply(_put('m', 0, at_ms=1))
    year_ms = 365 * 86_400_000
    replica.apply(_put('n', 0, command_id='2', at_ms=year_ms))
    assert_that(replica.apply(_put('m', 0, at_ms=1)), Equals(first))


def test_refusal_of_a_change_that_does_not_fit_has_figures() -> None:
    def check(catalogue: Catalogue) -> str:
        return '3 of 2 bytes' if len(catalogue.entries) > 1 else ''

    machine = ControlStateMachine(check)
    machine.apply(1, _put('m', 0))
    refused = machine.apply(2, _put('n', 0, command_id='2'))
    assert_that(refused.status, Equals(CommandStatus.does_not_fit))
    assert_that(refused.detail, Equals('3 of 2 bytes'))
    assert_that(machine.state.catalogue.revision, Equals(1))


def test_drain_is_kept_while_the_vm_registers_again(
    replica: Replica,
) -> None:
    vm = VmRecord(name='vm1', failure_domain='a', incarnation='i1')
    drain = DrainVm(operator='aoi', command_id='1', at_ms=1, name='vm1')
    assert_that(
        replica.apply(drain).status,
        Equals(CommandStatus.not_found),
    )
    replica.apply(RegisterVm(at_ms=1, vm=vm))
    replica.apply(msgspec.structs.replace(drain, command_id='2'))
    replica.apply(RegisterVm(at_ms=2, vm=vm))
    vms = replica.machine.state.vms
    assert_that(vms['vm1'].draining, Equals(True))
    fresh = msgspec.structs.replace(vm, incarnation='i2')
    replica.apply(RegisterVm(at_ms=3, vm=fresh))
    assert_that(vms['vm1'].draining, Equals(False))


@pytest.mark.parametrize(
    'damage',
    [
        lambda records: records[:1] + records[2:],
        lambda records: [records[1], records[0], *records[2:]],
        lambda records: [
            msgspec.structs.replace(records[0], operator='eve'),
            *records[1:],
        ],
        lambda records: [
            msgspec.structs.replace(records[0], operator='eve').with_digest(),
            *records[1:],
        ],
    ],
)
def test_changed_history_is_found(
    replica: Replica,
    damage: Callable[[list[object]], list[object]],
) -> None:
    for number in range(3):
        replica.apply(_put(f'm{number}', 0, command_id=str(number)))
    history = replica.machine.state.history
    assert_that(verify_history(history), Equals(''))
    damaged = damage(list(history))
    assert_that(verify_history(damaged), Not(Equals('')))  # type: ignore[arg-type] # Damage keeps the type.


def test_claim_raced_from_nine_entries_is_granted_once(
    replica: Replica,
) -> None:
    raced = [
        replica.apply(_claim(f'r{entry}', vm=f'vm{entry}'))
        for entry in range(9)
    ]
    statuses = [result.status for result in raced]
    assert_that(statuses[0], Equals(CommandStatus.claim_granted))
    assert_that(set(statuses[1:]), Equals({CommandStatus.claim_held}))
    other = _claim('r9', content_digest='other')
    assert_that(
        replica.apply(other).status,
        Equals(CommandStatus.claim_conflict),
    )
    end = EndClaim(
        at_ms=2,
        claim=raced[0].claim,
        request_id='r0',
        outcome=_outcome(),
    )
    other_request = msgspec.structs.replace(end, request_id='r1')
    assert_that(
        replica.apply(other_request).status,
        Equals(CommandStatus.claim_conflict),
    )
    replica.apply(end)
    replayed = replica.apply(_claim('r5'))
    assert_that(replayed.status, Equals(CommandStatus.claim_completed))
    assert_that(replayed.outcome, Equals(_outcome()))


def test_late_copy_of_a_released_claim_is_not_granted(
    replica: Replica,
) -> None:
    granted = replica.apply(_claim('r1'))
    replica.apply(EndClaim(at_ms=1, claim=granted.claim, request_id='r1'))
    late = replica.apply(_claim('r1'))
    assert_that(late.status, Equals(CommandStatus.claim_held))
    again = replica.apply(_claim('r2'))
    assert_that(again.status, Equals(CommandStatus.claim_granted))


def test_claims_of_a_vm_that_died_are_in_doubt(replica: Replica) -> None:
    vm = VmRecord(name='vm1', failure_domain='a', incarnation='i1')
    early = replica.apply(_claim('r0', incarnation='i1'))
    assert_that(early.status, Equals(CommandStatus.claim_unregistered))
    replica.apply(RegisterVm(at_ms=1, vm=vm))
    granted = replica.apply(_claim('r1', incarnation='i1'))
    replica.reload()
    restarted = msgspec.structs.replace(vm, incarnation='i2')
    replica.apply(RegisterVm(at_ms=2, vm=restarted))
    resent = replica.apply(_claim('r2', incarnation='i2'))
    assert_that(resent.status, Equals(CommandStatus.claim_in_doubt))
    assert_that(
        list(replica.machine.state.claims.scopes_in_doubt),
        Equals([granted.claim]),
    )
    replica.apply(
        EndClaim(
            at_ms=3,
            claim=granted.claim,
            request_id='r1',
            outcome=_outcome(),
        ),
    )
    assert_that(
        replica.apply(_claim('r3')).status,
        Equals(CommandStatus.claim_completed),
    )
    assert_that(replica.machine.state.claims.scopes_in_doubt, Equals({}))


def test_full_claim_table_refuses_claims_until_old_ones_expire() -> None:
    replica = Replica(_LIMITS)
    for number in range(6):
        granted = replica.apply(_claim('r', key=str(number)))
        end = EndClaim(
            at_ms=1,
            claim=granted.claim,
            request_id='r',
            outcome=_outcome(b'abcd'),
        )
        replica.apply(end)
    with_body = replica.apply(_claim('r2', key='0'))
    without_body = replica.apply(_claim('r2', key='5'))
    assert_that(with_body.outcome, Equals(_outcome(b'abcd')))
    assert without_body.outcome is not None
    assert_that(without_body.outcome.body_stored, Equals(False))
    full = replica.apply(_claim('r', key='new'))
    assert_that(full.status, Equals(CommandStatus.claim_table_full))
    replica.reload()
    later = replica.apply(_claim('r', key='new', at_ms=100))
    assert_that(later.status, Equals(CommandStatus.claim_granted))
    assert_that(replica.machine.state.claims.claims_by_scope, HasLength(1))


@given(added=st.lists(st.text(max_size=4)), absent=st.text(min_size=5))
def test_digest_set_forgets_nothing(added: list[str], absent: str) -> None:
    digests = DigestSet()
    for text in added:
        digests.add(text)
    restored = DigestSet(digests.encode())
    for text in added:
        assert_that(digests, Contains(text))
        assert_that(restored, Contains(text))
    assert_that(absent in restored, Equals(False))


_NAMES = st.sampled_from(('m', 'n'))
_KEYS = st.sampled_from(('1', '2', '3'))
_VMS = st.sampled_from(('vm1', 'vm2'))


class ReplicasMachine(RuleBasedStateMachine):
    """Two replicas and a reader; one replica restarts at any moment."""

    def __init__(self) -> None:
        """Create the replicas and the reader with empty states."""
        super().__init__()
        self.steady = Replica(_LIMITS)
        self.reloaded = Replica(_LIMITS)
        self.reader = ViewState(0)
        self.now_ms = 1
        self.answers: dict[tuple[str, str, bytes], CommandResult] = {}

    @rule(step_ms=st.integers(min_value=-5, max_value=600))
    def pass_time(self, step_ms: int) -> None:
        """Move the clock of the leader forward or back."""
        self.now_ms = max(self.now_ms + step_ms, 1)

    @rule()
    def reload(self) -> None:
        """Restart one replica from its snapshot."""
        self.reloaded.reload()

    @rule(
        name=_NAMES,
        operator=st.sampled_from(('aoi', 'bram')),
        command_id=st.integers(min_value=0, max_value=15),
        weight=st.integers(min_value=0, max_value=2),
        deletes=st.booleans(),
        current=st.booleans(),
    )
    def change(
        self,
        name: str,
        operator: str,
        command_id: int,
        weight: int,
        deletes: bool,
        current: bool,
    ) -> None:
        """Send or resend an operator change."""
        catalogue = self.steady.machine.state.catalogue
        expected = catalogue.entry_revision(name) if current else 0
        command: PutEntry | DeleteEntry = _put(
            name,
            expected,
            operator,
            str(command_id),
            weight,
            self.now_ms,
        )
        if deletes:
            command = DeleteEntry(
                operator=operator,
                command_id=str(command_id),
                at_ms=self.now_ms,
                expected_revision=expected,
                name=name,
            )
        self._check_once(command, self._apply(command), catalogue.revision)

    @rule(vm=_VMS, incarnation=_KEYS, gone=st.booleans())
    def register(self, vm: str, incarnation: str, gone: bool) -> None:
        """Register or remove a VM."""
        record = VmRecord(
            name=vm,
            failure_domain='a',
            incarnation=incarnation,
        )
        command = RegisterVm(at_ms=self.now_ms, vm=record, gone=gone)
        self._apply(command)

    @rule(model=_NAMES, gone=st.booleans(), state=st.sampled_from(CopyState))
    def copy(self, model: str, gone: bool, state: CopyState) -> None:
        """Record the state or the removal of a copy."""
        copy = Copy(
            target=model,
            version='1',
            upstream='u',
            accelerator='a',
            state=state,
            fence=1,
        )
        command = RecordCopy(at_ms=self.now_ms, copy=copy, gone=gone)
        self._apply(command)

    @rule(vm=_VMS)
    def record_fleet_controller(self, vm: str) -> None:
        """Record the VM that issues orders."""
        self._apply(RecordFleetController(at_ms=self.now_ms, vm=vm))
        assert_that(self.steady.machine.state.fleet_controller, Equals(vm))

    @rule(request=_KEYS, key=_KEYS, vm=_VMS, incarnation=_KEYS)
    def claim(
        self,
        request: str,
        key: str,
        vm: str,
        incarnation: str,
    ) -> None:
        """Claim an idempotency key."""
        command = _claim(
            request,
            key,
            vm=vm,
            incarnation=incarnation,
            at_ms=self.now_ms,
        )
        self._apply(command)

    @rule(
        age=st.integers(min_value=0, max_value=30),
        request=_KEYS,
        outcome=st.sampled_from((None, _outcome(b'abc'), _outcome(b'abcde'))),
        in_doubt=st.booleans(),
    )
    def end_claim(
        self,
        age: int,
        request: str,
        outcome: CallOutcome | None,
        in_doubt: bool,
    ) -> None:
        """Record an outcome, a release or that a claim is in doubt."""
        command = EndClaim(
            at_ms=self.now_ms,
            claim=self.steady.machine.state.index - age,
            request_id=request,
            outcome=outcome,
            in_doubt=in_doubt,
        )
        self._apply(command)

    @invariant()
    def replicas_agree(self) -> None:
        """Check that equal commands give equal states."""
        images = [
            replica.machine.snapshot()
            for replica in (self.steady, self.reloaded)
        ]
        assert_that(images[0] == images[1], Equals(True))

    @invariant()
    def history_is_whole(self) -> None:
        """Check the hash chain of the history."""
        history = self.steady.machine.state.history
        assert_that(verify_history(history), Equals(''))

    @rule()
    def read(self) -> None:
        """Update the reader by changes, or by the whole view without them."""
        source = self.steady.machine.state.view
        changes = source.changes_since(self.reader.index)
        if changes is None:
            self.reader.apply_view(source.view())
        for change in changes or ():
            assert_that(self.reader.apply_change(change), Equals(True))
        assert_that(self.reader.digest, Equals(source.digest))
        assert_that(view_digest(self.reader.view()), Equals(source.digest))
        assert_that(self.reader.catalogue, Equals(source.catalogue))

    def _apply(self, command: Command) -> CommandResult:
        """Apply a command to both replicas and compare the results."""
        answered = self.steady.apply(command)
        assert_that(self.reloaded.apply(command), Equals(answered))
        return answered

    def _check_once(
        self,
        command: PutEntry | DeleteEntry,
        answer: CommandResult,
        revision: int,
    ) -> None:
        """Check that a resend gets the first result and changes nothing."""
        after = self.steady.machine.state.catalogue.revision
        content = msgspec.structs.replace(command, at_ms=0)
        key = (
            command.operator,
            command.command_id,
            msgspec.msgpack.encode(content),
        )
        first = self.answers.get(key)
        if first is None:
            if answer.status is CommandStatus.done:
                assert_that(after, Equals(revision + 1))
                self.answers[key] = answer
            return
        assert_that(after, Equals(revision))
        if answer.status is not CommandStatus.command_expired:
            assert_that(answer, Equals(first))


TestReplicas = ReplicasMachine.TestCase
TestReplicas.settings = settings(max_examples=60, stateful_step_count=60)


def test_reader_applies_no_change_after_a_gap(replica: Replica) -> None:
    for number in range(3):
        replica.apply(_put(f'm{number}', 0, command_id=str(number)))
    changes = replica.machine.state.view.changes_since(0)
    assert changes is not None
    reader = ViewState(8)
    applied = [reader.apply_change(changes[at]) for at in (0, 2, 0, 1, 1, 2)]
    assert_that(applied, Equals([True, False, False, True, False, True]))
    assert_that(reader.digest, Equals(replica.machine.state.view.digest))
