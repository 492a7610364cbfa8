"""The limit of a workspace in the path of a request, with a fake controller."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, cast

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is, LessThan

from persimmonhold.fleet import (
    CreditReply,
    CreditRequest,
    DispatchRequest,
    EntryReport,
    FleetMessage,
    PermitReply,
    RequestProfile,
)
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.forwarding._forward_runner import ForwardRunner
from persimmonhold.observability import metric
from persimmonhold.platform._names import REQUEST_ID, SIGNATURE
from persimmonhold.routes import (
    RouteKind,
    Workspace,
    WorkspaceLimit,
    hash_key,
)
from persimmonhold.transport import Channel, Receiver, Transport
from persimmonhold.web import Exchange, RequestHead, encode_headers
from tests.entry_builders import TIMEOUT_S
from tests.fleet_builders import make_route
from tests.forwarding_harness import ForwardingHarness
from tests.limited_fleet import RecordedExchange

_LIMIT: Final = WorkspaceLimit(
    per_s=4200, burst=4200, counts_tokens=True, default_tokens=200
)
_GRANTED_S: Final = 2.0
# Members of the union of messages before this build.
_OLDER_MESSAGES: Final = EntryReport | PermitReply


class FakeController(Transport):
    """Answers the credit requests of an entry as a test tells it to.

    It stands for the transport of the entry, too.
    """

    def __init__(self, harness: ForwardingHarness) -> None:
        self.requests: list[CreditRequest] = []
        self.wait_s = 0.0
        self.admit_share = 1.0
        self.is_silent = False
        self.lost_count = 0
        self.harness = harness
        fleet_client = harness.services.fleet_client
        fleet_client.vm.agent.leader = 'c1'
        fleet_client.transport = self
        self.decoder = msgspec.msgpack.Decoder[CreditRequest](CreditRequest)

    def send(self, peer: str, channel: Channel, payload: bytes) -> None:
        """Take a message of the entry."""
        self.receive(self.decoder.decode(payload))

    def set_receiver(self, channel: Channel, receiver: Receiver) -> None:
        """Do nothing: replies go to the client of the entry."""

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Do nothing: there is one controller."""

    def receive(self, request: CreditRequest) -> None:
        """Answer a request through the decoder of the entry."""
        self.requests.append(request)
        if self.lost_count:
            self.lost_count -= 1
            return
        if self.is_silent:
            return
        reply = CreditReply(
            request_id=request.request_id,
            grant_id=0 if self.wait_s else len(self.requests),
            tokens=0 if self.wait_s else request.tokens,
            term_s=_GRANTED_S,
            wait_s=self.wait_s,
            admit_share=self.admit_share,
        )
        encoded = msgspec.msgpack.encode(reply)
        asyncio.get_running_loop().call_soon(
            self.harness.services.fleet_client.handle_message, 'c1', encoded
        )


def make_workspace(name: str, limit: WorkspaceLimit | None = None) -> Workspace:
    """Return a workspace whose key is its name."""
    return Workspace(name=name, key_hashes=(hash_key(name),), limit=limit)


class QuotaPath:
    """An entry with an upstream, a limited workspace and a controller."""

    def __init__(self, harness: ForwardingHarness) -> None:
        self.harness = harness
        self.set_workspaces((make_workspace('w1', _LIMIT),))
        self.controller = FakeController(harness)
        self.numbers = 0

    def set_workspaces(self, workspaces: tuple[Workspace, ...]) -> None:
        """Change the workspaces in the document of the entry."""
        view = self.harness.control.view
        routes = msgspec.structs.replace(view.routes, workspaces=workspaces)
        self.harness.control.view = msgspec.structs.replace(view, routes=routes)

    async def run(
        self,
        workspace: str = 'w1',
        tokens: tuple[int, int] = (826, 288),
        lasts_s: float = 1.0,
        key: str = '',
    ) -> RecordedExchange:
        """Run a request from its dispatch request on; return its response.

        `key` is that of its workspace, unless it is given.
        """
        self.numbers += 1
        now = self.harness.hub.clock()
        exchange = RecordedExchange('/chat/x')
        exchange.head = RequestHead(
            method='POST',
            target='/chat/x',
            headers=encode_headers({'attempt-id': f'r{self.numbers}'}),
            peer='',
        )
        request = DispatchRequest(
            number=next(self.harness.hub.request_numbers),
            service='models',
            route=make_route(RouteKind.idempotent),
            profile=RequestProfile(
                request_id=f'r{self.numbers}',
                prompt_tokens=tokens[0],
                output_tokens=tokens[1],
            ),
            arrived_at=now,
            due_at=now + 0.4,
            caller_waits_until=now + lasts_s,
            ends_at=now + lasts_s,
            workspace=workspace,
        )
        runner = ForwardRunner(
            self.harness.services,
            ForwardRequest(
                dispatch_request=request,
                head=exchange.head,
                body=b'',
                key_hash=hash_key(key or workspace),
            ),
            cast(Exchange, exchange),
        )
        await runner.run()
        return exchange

    def count(self, outcome: str) -> float:
        """Return the units of the workspace with an outcome."""
        return self.harness.services.metrics.counter_value(
            metric.QUOTA, workspace='w1', outcome=outcome
        )


async def _answer(exchange: Exchange) -> None:
    await exchange.read_body()
    own = {
        REQUEST_ID: exchange.head.header(REQUEST_ID),
        SIGNATURE: 's1',
    }
    await exchange.respond(200, b'done', 'text/plain', encode_headers(own))


@pytest.fixture
def run_path() -> Callable[[Callable[[QuotaPath], Any]], None]:
    """Return a function that runs a scenario with an entry of its own."""

    async def run_scenario(scenario: Callable[[QuotaPath], Any]) -> None:
        async with ForwardingHarness() as harness:
            await scenario(QuotaPath(harness))

    def run(scenario: Callable[[QuotaPath], Any]) -> None:
        asyncio.run(asyncio.wait_for(run_scenario(scenario), TIMEOUT_S))

    return run


Run = Callable[[Callable[[QuotaPath], Any]], None]


def test_request_costs_its_tokens_and_is_sent(run_path: Run) -> None:
    async def scenario(path: QuotaPath) -> None:
        upstream = await path.harness.start_upstream(_answer)
        exchange = await path.run()
        assert_that(exchange.status, Equals(200))
        assert_that(upstream.heads, HasLength(1))
        asked = [one.tokens for one in path.controller.requests]
        assert_that(asked, Equals([1114]))
        assert_that(path.count('granted'), Equals(1114))
        assert_that(path.count('returned'), Equals(0))

    run_path(scenario)


def test_request_that_states_no_tokens_costs_the_default(
    run_path: Run,
) -> None:
    async def scenario(path: QuotaPath) -> None:
        await path.harness.start_upstream(_answer)
        await path.run(tokens=(0, 0))
        assert_that(path.controller.requests[0].tokens, Equals(200))

    run_path(scenario)


def test_request_without_credit_is_refused_and_not_sent(run_path: Run) -> None:
    """429 promises that the request did not run."""

    async def scenario(path: QuotaPath) -> None:
        upstream = await path.harness.start_upstream(_answer)
        path.controller.wait_s = 1.5
        exchanges = [await path.run() for _ in range(3)]
        assert_that({one.status for one in exchanges}, Equals({429}))
        assert_that(upstream.heads, Equals([]))
        told = [_retry_after_s(one) for one in exchanges]
        assert_that(min(told), GreaterThan(1.49))
        assert_that(max(told), LessThan(2.26))
        assert_that(len(set(told)), GreaterThan(1))
        assert_that(path.count('refused'), Equals(3 * 1114))
        refusals = path.harness.services.metrics.counter_value(
            metric.REFUSALS,
            reason='quota',
            service_class='idempotent',
            ran='no',
        )
        assert_that(refusals, Equals(3))

    run_path(scenario)


def test_request_waits_for_credit_that_is_there_soon(run_path: Run) -> None:
    async def scenario(path: QuotaPath) -> None:
        await path.harness.start_upstream(_answer)
        path.controller.wait_s = 0.03
        task = asyncio.create_task(path.run())
        await asyncio.sleep(0.01)
        path.controller.wait_s = 0
        exchange = await task
        assert_that(exchange.status, Equals(200))
        asked = [one.has_asked for one in path.controller.requests]
        assert_that(asked, Equals([False, True]))

    run_path(scenario)


@pytest.mark.parametrize('workspace', ['', 'w2', 'other'])
def test_request_without_a_limit_asks_for_nothing(
    run_path: Run, workspace: str
) -> None:
    # Its key is valid, also if the name was that of a workspace before.
    async def scenario(path: QuotaPath) -> None:
        await path.harness.start_upstream(_answer)
        path.set_workspaces((
            make_workspace('w1', _LIMIT),
            make_workspace('w2'),
        ))
        path.controller.wait_s = 5
        exchange = await path.run(workspace, key='w2')
        assert_that(exchange.status, Equals(200))
        assert_that(path.controller.requests, Equals([]))

    run_path(scenario)


def test_entry_without_workspaces_has_no_quota_client(run_path: Run) -> None:
    """It must not import what only entries with limits use."""

    async def scenario(path: QuotaPath) -> None:
        path.set_workspaces(())
        await path.harness.start_upstream(_answer)
        exchange = await path.run('')
        assert_that(exchange.status, Equals(200))
        assert_that(path.harness.services.quota_client, Is(None))

    run_path(scenario)


def test_limit_that_was_removed_is_not_applied(run_path: Run) -> None:
    async def scenario(path: QuotaPath) -> None:
        await path.harness.start_upstream(_answer)
        path.controller.wait_s = 5
        refused = await path.run()
        assert_that(refused.status, Equals(429))
        path.set_workspaces((make_workspace('w1'),))
        admitted = await path.run()
        assert_that(admitted.status, Equals(200))

    run_path(scenario)


def test_credit_of_a_request_that_was_not_sent_serves_the_next_one(
    run_path: Run,
) -> None:
    """Without an upstream, the workspace must not pay for the refusal."""

    async def scenario(path: QuotaPath) -> None:
        refused = await path.run(lasts_s=0.2)
        assert_that(refused.status, Equals(503))
        assert_that(path.count('returned'), Equals(1114))
        await path.harness.start_upstream(_answer)
        admitted = await path.run()
        assert_that(admitted.status, Equals(200))
        assert_that(path.controller.requests, HasLength(1))

    run_path(scenario)


def test_credit_of_a_request_whose_caller_left_is_returned(
    run_path: Run,
) -> None:
    async def scenario(path: QuotaPath) -> None:
        task = asyncio.create_task(path.run(lasts_s=3))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.wait((task,))
        assert_that(path.count('returned'), Equals(1114))

    run_path(scenario)


def test_credit_that_arrives_after_the_caller_left_is_kept(
    run_path: Run,
) -> None:
    """The reply is on its way when the request is cancelled."""

    async def scenario(path: QuotaPath) -> None:
        path.controller.is_silent = True
        task = asyncio.create_task(path.run())
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait((task,))
        path.controller.is_silent = False
        path.controller.receive(path.controller.requests[0])
        await asyncio.sleep(0.01)
        await path.harness.start_upstream(_answer)
        exchange = await path.run()
        assert_that(exchange.status, Equals(200))
        # The first request, its answered repeat, and no third one.
        assert_that(path.controller.requests, HasLength(2))

    run_path(scenario)


def test_request_that_was_sent_and_failed_keeps_its_cost(
    run_path: Run,
) -> None:
    async def fail(exchange: Exchange) -> None:
        exchange.abort_connection()

    async def scenario(path: QuotaPath) -> None:
        await path.harness.start_upstream(fail)
        await path.run()
        assert_that(path.count('granted'), Equals(1114))
        assert_that(path.count('returned'), Equals(0))

    run_path(scenario)


def test_credit_returns_if_no_connection_to_an_upstream_is_made(
    run_path: Run,
) -> None:
    async def scenario(path: QuotaPath) -> None:
        upstream = await path.harness.start_upstream(_answer)
        upstream.address = '127.0.0.1:1'
        path.harness.set_facts()
        exchange = await path.run(lasts_s=0.5)
        assert_that(exchange.status, Equals(503))
        assert_that(path.count('returned'), Equals(1114))

    run_path(scenario)


def test_lost_message_is_sent_again(run_path: Run) -> None:
    async def scenario(path: QuotaPath) -> None:
        await path.harness.start_upstream(_answer)
        path.controller.lost_count = 1
        exchange = await path.run()
        assert_that(exchange.status, Equals(200))
        sent = path.controller.requests
        assert_that(sent, HasLength(2))
        assert_that(sent[0], Equals(sent[1]))
        assert_that(path.count('alone'), Equals(0))

    run_path(scenario)


def test_entry_decides_alone_without_a_reply(run_path: Run) -> None:
    """It asks for a reply meanwhile, and goes back to credit with the first."""

    async def scenario(path: QuotaPath) -> None:
        await path.harness.start_upstream(_answer)
        path.controller.is_silent = True
        admitted = await path.run()
        assert_that(admitted.status, Equals(200))
        assert_that(path.count('alone'), Equals(1114))
        path.harness.hub.dispatcher.entry_count = 65
        refused = await path.run()
        assert_that(refused.status, Equals(429))
        assert_that(_retry_after_s(refused), GreaterThan(1))
        path.controller.is_silent = False
        await asyncio.sleep(0.26)
        await path.run()
        await asyncio.sleep(0.01)
        granted = await path.run()
        assert_that(granted.status, Equals(200))
        assert_that(path.count('granted'), Equals(1114))

    run_path(scenario)


@pytest.mark.parametrize(
    'message',
    [
        CreditRequest(request_id=1, workspace='w1', tokens=5),
        CreditReply(
            request_id=1,
            grant_id=2,
            tokens=5,
            term_s=2,
            wait_s=0,
            admit_share=1,
        ),
    ],
)
def test_message_is_decoded_here_and_refused_by_an_older_build(
    message: CreditRequest | CreditReply,
) -> None:
    """An older build logs and drops a message of a kind that it lacks."""
    encoded = msgspec.msgpack.encode(message)
    decoded = msgspec.msgpack.Decoder[Any](FleetMessage).decode(encoded)
    assert_that(decoded, Equals(message))
    older = msgspec.msgpack.Decoder[Any](_OLDER_MESSAGES)
    with pytest.raises(msgspec.ValidationError):
        older.decode(encoded)


def _retry_after_s(exchange: RecordedExchange) -> float:
    return float(dict(exchange.headers)[b'retry-after'])
