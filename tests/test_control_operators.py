"""The HTTP interface of operators on the leader and on a follower."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, final

import msgspec
import pytest
from returns.result import Failure as Failed
from returns.result import Result
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from persimmonhold.control.machine import (
    ClaimKey,
    ControlStateMachine,
    EndClaim,
    HistoryRecord,
    RegisterVm,
    verify_history,
)
from persimmonhold.control.shell import (
    REFUSAL_HTTP_STATUS,
    ControlApplier,
    ControlNode,
    OperatorHandler,
    OperatorRefusal,
)
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.messages import VmRecord
from persimmonhold.observability import Metrics, metric
from persimmonhold.replication import ReplicaStatus, ReplicatedLog
from persimmonhold.web import (
    Address,
    ClientRequest,
    FetchedResponse,
    HttpBounds,
    HttpServer,
    encode_headers,
    fetch,
)

_LOOPBACK_ADDRESS = Address('127.0.0.1', 0)
_ENTRIES = '/catalogue/v1/entries'
_ENGINE = MappingProxyType({
    'kind': 'upstream',
    'name': 'engine',
    'owner': 'levy',
    'address': '127.0.0.1:9',
    'failure_domain': 'a',
    'accelerators': [{'name': 'a0', 'memory_bytes': 100}],
})
_MODEL = MappingProxyType({
    'kind': 'model',
    'name': 'guide',
    'owner': 'levy',
    'version': '1',
    'weight_bytes': 50,
    'kv_floor_bytes': 5,
})


@final
class FollowerLog(ReplicatedLog):
    """The log of a follower with a known or an unknown leader."""

    def __init__(self, leader: str) -> None:
        """Create the log of a follower; an empty `leader` is unknown."""
        self._leader = leader

    @property
    def is_leader(self) -> bool:
        """Always false."""
        return False

    @property
    def leader(self) -> str:
        """The name of the leader; empty if unknown."""
        return self._leader

    @property
    def applied_index(self) -> int:
        """Always zero: nothing has been applied."""
        return 0

    async def propose(self, payload: bytes) -> Result[object, Failure]:
        """Fail with `not_leader`."""
        return Failed(Failure(kind=FailureKind.not_leader, step='propose'))

    async def read_barrier(self) -> Result[int, Failure]:
        """Fail with `not_leader`."""
        return Failed(Failure(kind=FailureKind.not_leader, step='read'))

    async def transfer_leadership(self, vm: str = '') -> Result[str, Failure]:
        """Fail with `not_leader`."""
        return Failed(Failure(kind=FailureKind.not_leader, step='transfer'))

    def status(self) -> ReplicaStatus:
        """Return the status of the follower."""
        return ReplicaStatus(
            vm='vm2',
            incarnation='',
            role='follower',
            term=1,
            leader=self._leader,
            is_verified=True,
            lease_s=0,
            last_index=0,
            commit_index=0,
            applied_index=0,
            snapshot_index=0,
            members=(),
        )


@final
class OperatorHarness:
    """Runs a single-replica node and sends operator requests to it."""

    def __init__(self, directory: Path) -> None:
        """Create a node under `directory`."""
        self.node = ControlNode.create_single_replica(directory)
        self.metrics = Metrics()
        self.handler = OperatorHandler(
            self.node,
            self.metrics,
            lambda name: [{'decided': name}],
        )
        self.address = _LOOPBACK_ADDRESS
        self.command_id = 0

    async def send(
        self,
        method: str,
        target: str,
        document: object = None,
        revision: int | None = None,
        **headers: str,
    ) -> tuple[int, dict[str, Any]]:
        """Send a request; return the status and the document."""
        self.command_id += 1
        request_headers = {
            'persimmonhold-operator': 'aoi',
            'persimmonhold-command-id': str(self.command_id),
            'persimmonhold-reason': 'levy of May',
        }
        if isinstance(document, Mapping):
            document = dict(document)
        if revision is not None:
            request_headers['if-match'] = f'"{revision}"'
        request_headers.update({
            name.replace('_', '-'): headers[name] for name in headers
        })
        request = ClientRequest(
            method=method,
            target=target,
            headers=encode_headers({
                name: request_headers[name] for name in request_headers
            }),
            body=b'' if document is None else msgspec.json.encode(document),
        )
        fetched = await fetch(self.address, request, 10)
        response: FetchedResponse = fetched.unwrap()
        reply_document = msgspec.json.decode(response.body, type=dict[str, Any])
        return response.head.status, reply_document

    async def put(
        self,
        document: Mapping[str, Any],
        revision: int | None = 0,
        **headers: str,
    ) -> tuple[int, dict[str, Any]]:
        """Put an entry."""
        target = f'{_ENTRIES}/{document["name"]}'
        return await self.send('PUT', target, document, revision, **headers)

    def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Run a scenario while the server of the node is up."""

        async def run_with_server() -> None:
            server = HttpServer(_LOOPBACK_ADDRESS, self.handler, HttpBounds())
            async with server, asyncio.timeout(20):
                self.address = server.address
                await scenario()

        with self.node:
            self.node.recover().unwrap()
            asyncio.run(run_with_server())


@pytest.fixture
def operators(tmp_path: Path) -> OperatorHarness:
    return OperatorHarness(tmp_path)


def test_entry_is_put_read_and_put_again(operators: OperatorHarness) -> None:
    async def scenario() -> None:
        await operators.put(_ENGINE)
        status, answer = await operators.put(_MODEL)
        assert_that((status, answer['entry_revision']), Equals((200, 2)))
        target = f'{_ENTRIES}/guide'
        _, read = await operators.send('GET', target)
        assert_that(read['revision'], Equals(2))
        status, answer = await operators.put(read, 2)
        assert_that((status, answer['entry_revision']), Equals((200, 3)))
        _, listed = await operators.send('GET', _ENTRIES)
        assert_that(listed['revision'], Equals(3))
        names = [entry['name'] for entry in listed['entries']]
        assert_that(names, Equals(['engine', 'guide']))
        status, _ = await operators.send('DELETE', target, None, 3)
        assert_that(status, Equals(200))
        status, answer = await operators.send('GET', target)
        assert_that((status, answer['reason']), Equals((404, 'unknown_entry')))

    operators.run(scenario)


def test_resend_lost_race_and_reused_id(operators: OperatorHarness) -> None:
    async def scenario() -> None:
        await operators.put(_ENGINE)
        same = {'persimmonhold_command_id': 'x'}
        first = await operators.put(_MODEL, 0, **same)
        assert_that(await operators.put(_MODEL, 0, **same), Equals(first))
        changed = {**_MODEL, 'version': '2'}
        status, answer = await operators.put(changed, 2, **same)
        assert_that(
            (status, answer['reason']),
            Equals((409, 'command_id_reused')),
        )
        other = {**same, 'persimmonhold_operator': 'bram'}
        status, answer = await operators.put(changed, 0, **other)
        assert_that(
            (status, answer['reason'], answer['entry_revision']),
            Equals((412, 'revision_conflict', 2)),
        )
        _, history = await operators.send('GET', '/catalogue/v1/history')
        records = msgspec.convert(history['history'], list[HistoryRecord])
        assert_that(verify_history(records), Equals(''))
        assert_that(records[1].reason, Equals('levy of May'))
        _, later = await operators.send(
            'GET',
            '/catalogue/v1/history?since=1',
        )
        assert_that(len(later['history']), Equals(1))

    operators.run(scenario)


@pytest.mark.parametrize(
    ('method', 'target', 'document', 'headers', 'expected'),
    [
        ('PUT', '/guide', _MODEL, {}, 'missing_header'),
        ('PUT', '/guide', _MODEL, {'if_match': 'W/"x"'}, 'missing_header'),
        (
            'PUT',
            '/guide',
            _MODEL,
            {'if_match': '"0"', 'persimmonhold_operator': ''},
            'missing_header',
        ),
        (
            'DELETE',
            '/guide',
            None,
            {'if_match': '"0"', 'persimmonhold_command_id': ''},
            'missing_header',
        ),
        ('DELETE', '/guide', None, {'if_match': '"0"'}, 'unknown_entry'),
        ('PUT', '/other', _MODEL, {'if_match': '"0"'}, 'bad_entry'),
        ('PUT', '/guide', [1], {'if_match': '"0"'}, 'bad_entry'),
        (
            'PUT',
            '/guide',
            {**_MODEL, 'bounds': {'first_token_ms': 0}},
            {'if_match': '"0"'},
            'bad_entry',
        ),
        (
            'PUT',
            '/guide',
            {**_MODEL, 'weight_bytes': 101},
            {'if_match': '"0"'},
            'does_not_fit',
        ),
        ('POST', '/guide', _MODEL, {}, 'unknown_method'),
        ('GET', '/absent', None, {}, 'unknown_entry'),
        ('GET', '/../nothing', None, {}, 'unknown_entry'),
        ('GET', '/../../v2/nothing', None, {}, 'unknown_entry'),
    ],
)
def test_refusals_are_problem_documents_and_counted(
    operators: OperatorHarness,
    method: str,
    target: str,
    document: object,
    headers: dict[str, str],
    expected: str,
) -> None:
    async def scenario() -> None:
        await operators.put(_ENGINE)
        status, answer = await operators.send(
            method,
            f'{_ENTRIES}{target}',
            document,
            None,
            **headers,
        )
        reason = OperatorRefusal(expected)
        assert_that(answer['reason'], Equals(reason.value))
        assert_that(status, Equals(REFUSAL_HTTP_STATUS[reason]))
        assert_that(answer['status'], Equals(status))
        counted = operators.metrics.counter_value(
            metric.COMMANDS, outcome=reason
        )
        assert_that(counted, Equals(1))

    operators.run(scenario)


def test_status_explains_and_vms_drain(operators: OperatorHarness) -> None:
    async def scenario() -> None:
        await operators.put(_ENGINE)
        await operators.put(_MODEL)
        vm = VmRecord(name='vm1', failure_domain='a')
        await operators.node.propose(RegisterVm(at_ms=1, vm=vm))
        for action in ('drain', 'undrain', 'drain'):
            status, _ = await operators.send(
                'POST',
                f'/catalogue/v1/{action}/vm1',
            )
            assert_that(status, Equals(200))
        _, status_now = await operators.send('GET', '/catalogue/v1/status')
        assert_that(status_now['vms'][0]['draining'], Equals(True))
        assert_that(status_now['behind'], Equals([]))
        assert_that(
            status_now['models'],
            Equals([
                {
                    'name': 'guide',
                    'kind': 'model',
                    'wanted': 1,
                    'serving': 0,
                    'copies': 0,
                },
            ]),
        )
        assert_that(
            status_now['memory'],
            Equals([
                {
                    'upstream': 'engine',
                    'accelerator': 'a0',
                    'capacity_bytes': 100,
                    'held_bytes': 0,
                    'reserved_bytes': 0,
                },
            ]),
        )
        _, explained = await operators.send(
            'GET',
            '/catalogue/v1/explain/guide',
        )
        assert_that(explained['decisions'], Equals([{'decided': 'guide'}]))
        code, _ = await operators.send('POST', '/catalogue/v1/forget/vm1')
        assert_that((code, operators.node.state.vms), Equals((200, {})))
        code, absent = await operators.send('POST', '/catalogue/v1/drain/vm9')
        assert_that((code, absent['reason']), Equals((404, 'unknown_vm')))
        _, health = await operators.send('GET', '/healthz')
        assert_that(health['status'], Equals('ok'))

    operators.run(scenario)


def test_claims_in_doubt_are_listed(operators: OperatorHarness) -> None:
    async def scenario() -> None:
        claim = ClaimKey(
            at_ms=1,
            caller='kiln',
            service='lodgements',
            key='may',
            content_digest='d',
            request_id='r',
            vm='vm1',
        )
        granted = (await operators.node.propose(claim)).unwrap()
        end = EndClaim(
            at_ms=2,
            claim=granted.claim,
            request_id='r',
            in_doubt=True,
        )
        await operators.node.propose(end)
        _, listed = await operators.send('GET', '/catalogue/v1/claims')
        assert_that(listed['claims'][0]['key'], Equals('may'))

    operators.run(scenario)


def test_follower_forwards_a_request_once(operators: OperatorHarness) -> None:
    async def ask(leader: str) -> tuple[int, dict[str, Any]]:
        machine = ControlStateMachine()
        vm = VmRecord(
            name='vm1',
            failure_domain='a',
            operators=str(operators.address),
        )
        machine.apply(1, RegisterVm(at_ms=1, vm=vm))
        node = ControlNode(ControlApplier(machine), FollowerLog(leader))
        handler = OperatorHandler(node)
        async with HttpServer(
            _LOOPBACK_ADDRESS, handler, HttpBounds()
        ) as server:
            at_leader = operators.address
            operators.address = server.address
            answered = await operators.put(_ENGINE)
            operators.address = at_leader
        return answered

    async def scenario() -> None:
        status, answer = await ask('vm1')
        assert_that((status, answer['entry_revision']), Equals((200, 1)))
        status, answer = await ask('')
        assert_that((status, answer['reason']), Equals((503, 'no_leader')))
        assert_that(answer['detail'], Contains('resend'))

    operators.run(scenario)
