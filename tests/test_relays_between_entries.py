"""Entries that relay requests to one another, with upstreams of their own."""

import asyncio
import itertools
from pathlib import Path
from typing import Final

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    Is,
    LessThan,
    Not,
)

from persimmonhold.explanation import (
    LogLine,
    LossReport,
    RequestExplanation,
    parse_lines,
)
from persimmonhold.fleet import RetryBounds
from persimmonhold.forwarding._forward_handler import ForwardHandler
from persimmonhold.observability import LogLevel, LogOutput, log_event, metric
from persimmonhold.platform._names import REQUEST_ID
from persimmonhold.routes import (
    RouteKind,
    Workspace,
    WorkspaceLimit,
    hash_key,
)
from persimmonhold.usage import UsedTokens
from persimmonhold.web import (
    RELAYED_FOR_HEADER,
    ClientRequest,
    FetchedResponse,
    HttpBounds,
    HttpServer,
    encode_headers,
    fetch,
)
from tests.entry_builders import ANY_PORT
from tests.forwarding_harness import ForwardingHarness
from tests.raw_upstream import (
    EVENT_STREAM,
    PLAIN,
    RawConnection,
    RawUpstream,
)
from tests.scripted_entries import (
    BODY,
    CutEntry,
    lose_upstreams,
    make_vm,
    refuse,
    regain_upstreams,
    run_cut,
    set_vms,
    wait_until,
)
from tests.test_quota_forwarding import FakeController
from tests.upstream_links import HANG, RESET, LinkedEntries, run_linked

_FIRST_EVENT: Final = b'id: 1\ndata: x\n\n'


class Upstream:
    """Answers requests after a delay, and records the runs of each."""

    def __init__(self, delay_s: float = 0) -> None:
        self.delay_s = delay_s
        self.runs: dict[str, int] = {}
        self.heads: list[dict[str, str]] = []

    async def serve(self, connection: RawConnection) -> None:
        """Run a request."""
        name = connection.headers[REQUEST_ID]
        self.runs[name] = self.runs.get(name, 0) + 1
        self.heads.append(connection.headers)
        await asyncio.sleep(self.delay_s)
        await connection.respond(PLAIN, 'length', BODY)


async def _send(
    entry: ForwardingHarness,
    name: str,
    deadline_ms: int = 3000,
    headers: dict[str, str] | None = None,
) -> FetchedResponse | None:
    answered = await entry.send_request(
        headers={REQUEST_ID: name, **(headers or {})}, deadline_ms=deadline_ms
    )
    return answered.value_or(None)


def _count_relays(entry: ForwardingHarness, end: str = '') -> float:
    metrics = entry.services.metrics
    ends = [end] if end else ['delivered', 'refused', 'unable', 'failed']
    return sum(metrics.counter_value(metric.RELAYS, end=one) for one in ends)


def _status(response: FetchedResponse | None) -> int:
    return 0 if response is None else response.head.status


# Circles.


@pytest.mark.parametrize('kind', list(RouteKind))
def test_request_is_refused_soon_if_all_entries_are_cut_off(
    kind: RouteKind,
) -> None:
    upstream = Upstream()

    async def scenario(linked: LinkedEntries) -> None:
        linked.set_route(kind, attempts=3, resumable=True)
        await linked.start_upstreams(*itertools.repeat(upstream.serve, 2))
        for entry in linked.entries:
            lose_upstreams(entry)
        loop = asyncio.get_running_loop()
        for number in range(12):
            began_at = loop.time()
            answer = await _send(linked.entries[number % 4], f'r{number}')
            assert answer is not None
            assert_that(answer.head.status, Equals(503))
            after = float(answer.head.header('retry-after'))
            assert_that(after, GreaterThan(0.3))
            assert_that(loop.time() - began_at, LessThan(1))
        assert_that(upstream.runs, Equals({}))
        for entry in linked.entries:
            assert_that(_count_relays(entry), LessThan(7))

    run_linked(4, scenario)


def test_relayed_request_goes_no_further_at_an_entry_that_knows_no_vms() -> (
    None
):
    """An older view of the VMs must not send a request round in a circle."""

    async def scenario(cut: CutEntry) -> None:
        upstream = Upstream()
        await cut.start_others(upstream.serve)
        second = ForwardingHarness(vm_name='second')
        await cut.harness.stack.enter_async_context(second)
        lose_upstreams(second)
        second.control.view = msgspec.structs.replace(
            second.control.view, vms=cut.harness.control.view.vms
        )
        set_vms(cut.harness, make_vm('second', str(second.server.address)))
        answer = await _send(cut.harness, 'r1')
        assert answer is not None
        assert_that(answer.head.status, Equals(503))
        assert_that(_count_relays(cut.harness, 'unable'), Equals(1))
        assert_that(upstream.runs, Equals({}))

    run_cut(scenario)


# What the run at the other entry is like.


def test_relayed_request_runs_once_and_within_its_deadline() -> None:
    upstream = Upstream()

    async def scenario(linked: LinkedEntries) -> None:
        linked.set_route(RouteKind.non_idempotent)
        await linked.start_upstreams(upstream.serve)
        lose_upstreams(linked.entries[0])
        answer = await _send(linked.entries[0], 'r1', 1000)
        assert answer is not None
        assert_that(answer.body, Equals(BODY))
        assert_that(upstream.runs, Equals({'r1': 1}))
        head = upstream.heads[0]
        assert_that(int(head['deadline-ms']), LessThan(1001))
        assert_that(RELAYED_FOR_HEADER in head, Is(False))

    run_linked(2, scenario)


def test_forged_header_of_a_caller_reaches_no_upstream() -> None:
    """A caller that is no VM gains nothing from the header of a relay."""

    async def scenario(cut: CutEntry) -> None:
        regain_upstreams(cut.harness)
        upstream = Upstream()
        await cut.harness.start_raw_upstream(upstream.serve)
        set_vms(cut.harness, make_vm('other', '127.0.0.2:80'))
        answer = await cut.send('r1', headers={RELAYED_FOR_HEADER: '9.9.9.9'})
        assert answer is not None
        assert_that(answer.head.status, Equals(200))
        names = ' '.join(upstream.heads[0])
        assert_that(names, Not(Contains('persimmonhold')))

    run_cut(scenario)


def test_key_is_checked_and_use_is_counted_at_the_entry_that_runs() -> None:
    upstream = Upstream()

    async def scenario(linked: LinkedEntries) -> None:
        await linked.start_upstreams(upstream.serve)
        first, second = linked.entries
        for either in linked.entries:
            either.set_workspaces(
                Workspace(name='w1', key_hashes=(hash_key('k'),))
            )
        lose_upstreams(first)
        key = {'authorization': 'Bearer k', 'token-count': '10,5'}
        assert_that(_status(await _send(first, 'r1', headers=key)), Equals(200))
        assert_that(upstream.heads[0]['tenant'], Equals('w1'))
        used = [
            one.hub.usage_meter.build_message('e', 1e9)
            for one in linked.entries
        ]
        assert_that([one is None for one in used], Equals([True, False]))
        assert used[1] is not None
        assert_that(used[1].used, Equals((UsedTokens('w1', 1, 15),)))
        second.set_workspaces(
            Workspace(name='w1', key_hashes=(hash_key('new'),))
        )
        refused = await _send(first, 'r2', headers=key)
        assert refused is not None
        assert_that(refused.head.status, Equals(503))
        assert_that(upstream.runs, Equals({'r1': 1}))

    run_linked(2, scenario)


async def _fetch_shown(
    entry: ForwardingHarness, method: str
) -> tuple[object, ...]:
    """Send a request; return what its caller sees of the response."""
    request = ClientRequest(
        method=method,
        target='/chat/x',
        headers=encode_headers({REQUEST_ID: f'r{entry.server.address}'}),
        body=b'',
        host='a.example',
    )
    fetched = await fetch(entry.server.address, request, 5)
    head = fetched.unwrap().head
    names = ('content-length', 'x-own', 'server-signature')
    shown = tuple(head.header(name) for name in names)
    return (head.status, fetched.unwrap().body, *shown)


@pytest.mark.parametrize('method', ['GET', 'HEAD', 'DELETE', 'PUT'])
@pytest.mark.parametrize('status', [200, 204, 304, 404, 500])
def test_relayed_response_is_that_of_the_upstream(
    status: int, method: str
) -> None:
    async def serve(connection: RawConnection) -> None:
        size = 0 if status == 204 else len(BODY)
        has_body = size and method != 'HEAD' and status != 304
        length = '' if status == 204 else f'Content-Length: {size}\r\n'
        head = (
            f'HTTP/1.1 {status} Some\r\n{length}X-Own: 1\r\n'
            f'Server-Signature: s1\r\n'
            f'Attempt-Id: {connection.headers[REQUEST_ID]}\r\n\r\n'
        )
        await connection.write(head.encode('ascii'))
        if has_body:
            await connection.write(BODY)

    async def scenario(linked: LinkedEntries) -> None:
        linked.set_route(RouteKind.idempotent)
        await linked.start_upstreams(serve)
        lose_upstreams(linked.entries[0])
        direct, relayed = [
            await _fetch_shown(entry, method)
            for entry in reversed(linked.entries)
        ]
        assert_that(relayed, Equals(direct))
        assert_that(direct[0], Equals(status))

    run_linked(2, scenario)


# Requests that were under way when the cut was noticed.


async def _hang(connection: RawConnection) -> None:
    await asyncio.sleep(30)


@pytest.mark.parametrize(
    ('kind', 'attempts', 'is_relayed'),
    [
        (RouteKind.idempotent, 2, True),
        (RouteKind.idempotent, 1, False),
        (RouteKind.non_idempotent, 2, False),
        (RouteKind.stream, 2, False),
    ],
)
def test_paused_attempt_is_relayed_only_if_the_request_may_run_again(
    kind: RouteKind, attempts: int, is_relayed: bool
) -> None:
    async def scenario(cut: CutEntry) -> None:
        regain_upstreams(cut.harness)
        other = Upstream()
        cut.set_route(kind, attempts)
        await cut.start_others(other.serve)
        hanging = await cut.harness.start_raw_upstream(_hang)
        sent = asyncio.create_task(cut.send('r1', 1800))
        await wait_until(lambda: len(hanging.requests) == 1)
        lose_upstreams(cut.harness)
        answer = await sent
        assert_that(_status(answer) == 200, Is(is_relayed))
        assert_that(len(other.heads), Equals(int(is_relayed)))
        if not is_relayed:
            assert_that(_status(answer) in {502, 504}, Is(True))
        budget = cut.harness.hub.dispatcher.retry_budget('models')
        assert_that(len(budget.retries), Equals(int(is_relayed)))

    run_cut(scenario)


def test_paused_attempt_is_not_relayed_without_a_retry_left() -> None:
    async def scenario(cut: CutEntry) -> None:
        regain_upstreams(cut.harness)
        other = Upstream()
        cut.set_route(RouteKind.idempotent, 2)
        await cut.start_others(other.serve)
        hanging = await cut.harness.start_raw_upstream(_hang)
        budget = cut.harness.hub.dispatcher.retry_budget('models')
        budget.bounds = RetryBounds(slack=0, ratio=0)
        sent = asyncio.create_task(cut.send('r1', 1800))
        await wait_until(lambda: len(hanging.requests) == 1)
        lose_upstreams(cut.harness)
        assert_that(_status(await sent) in {502, 504}, Is(True))
        assert_that(other.heads, Equals([]))

    run_cut(scenario)


def test_run_whose_relay_no_entry_takes_is_counted_once() -> None:
    async def scenario(cut: CutEntry) -> None:
        regain_upstreams(cut.harness)
        cut.set_route(RouteKind.idempotent, 2)
        cut.harness.set_workspaces(
            Workspace(name='w1', key_hashes=(hash_key('k'),))
        )
        hanging = await cut.harness.start_raw_upstream(_hang)
        key = {'authorization': 'Bearer k', 'token-count': '10,5'}
        sent = asyncio.create_task(cut.send('r1', 1800, headers=key))
        await wait_until(lambda: len(hanging.requests) == 1)
        lose_upstreams(cut.harness)
        assert_that(_status(await sent), Equals(502))
        used = cut.harness.hub.usage_meter.build_message('e', 1e9)
        assert used is not None
        assert_that(used.used, Equals((UsedTokens('w1', 1, 15),)))

    run_cut(scenario)


@pytest.mark.parametrize('reason', ['stopping', 'no_capacity'])
def test_retry_is_returned_if_the_other_entry_refuses(reason: str) -> None:
    async def scenario(cut: CutEntry) -> None:
        async def refuse_it(connection: RawConnection) -> None:
            await refuse(connection, persimmonhold_refusal_reason=reason)

        regain_upstreams(cut.harness)
        cut.set_route(RouteKind.idempotent, 2)
        await cut.start_others(refuse_it)
        hanging = await cut.harness.start_raw_upstream(_hang)
        sent = asyncio.create_task(cut.send('r1', 1800))
        await wait_until(lambda: len(hanging.requests) == 1)
        lose_upstreams(cut.harness)
        assert_that(_status(await sent), Equals(502))
        assert_that(cut.relayed_counts, Equals([1]))
        budget = cut.harness.hub.dispatcher.retry_budget('models')
        assert_that(len(budget.retries), Equals(0))

    run_cut(scenario)


@pytest.mark.parametrize('was_relayed', [True, False])
def test_paused_attempt_goes_on_if_it_may_not_be_relayed(
    was_relayed: bool,
) -> None:
    """Kept connections may live on, so the upstream may still answer."""

    async def scenario(cut: CutEntry) -> None:
        regain_upstreams(cut.harness)
        cut.set_route(RouteKind.idempotent, 2)
        other = Upstream()
        await cut.start_others(other.serve)
        slow = await cut.harness.start_raw_upstream(Upstream(1.3).serve)
        budget = cut.harness.hub.dispatcher.retry_budget('models')
        headers = {RELAYED_FOR_HEADER: '9.9.9.9'} if was_relayed else {}
        if not was_relayed:
            budget.bounds = RetryBounds(slack=0, ratio=0)
        sent = asyncio.create_task(cut.send('r1', 4000, headers))
        await wait_until(lambda: len(slow.requests) == 1)
        lose_upstreams(cut.harness)
        assert_that(_status(await sent), Equals(200))
        assert_that(other.heads, Equals([]))

    run_cut(scenario)


async def _fail(connection: RawConnection) -> None:
    connection.reset()
    connection.writer.close()


def test_request_runs_no_oftener_than_its_route_allows_in_all() -> None:
    """The runs of the entry that relays count at the other entry as well."""

    async def scenario(linked: LinkedEntries) -> None:
        first, second = linked.entries
        linked.set_route(RouteKind.idempotent, attempts=2)
        hanging = await first.start_raw_upstream(_hang)
        failing = [await second.start_raw_upstream(_fail) for _ in range(3)]
        sent = asyncio.create_task(_send(first, 'r1', 2500))
        await wait_until(lambda: len(hanging.requests) == 1)
        lose_upstreams(first)
        await sent
        runs = sum(len(one.requests) for one in failing)
        assert_that(runs, Equals(1))

    run_linked(2, scenario)


@pytest.mark.parametrize('ran_before', [True, False])
def test_credit_is_spent_once_for_a_request_that_is_relayed(
    ran_before: bool,
) -> None:
    async def scenario(linked: LinkedEntries) -> None:
        first, second = linked.entries
        linked.set_route(RouteKind.idempotent, attempts=2)
        asked = [FakeController(entry).requests for entry in linked.entries]
        limit = WorkspaceLimit(per_s=9, burst=9)
        for entry in linked.entries:
            entry.set_workspaces(
                Workspace(name='w1', key_hashes=(hash_key('k'),), limit=limit)
            )
        hanging = await first.start_raw_upstream(_hang)
        await second.start_raw_upstream(Upstream().serve)
        if not ran_before:
            lose_upstreams(first)
        key = {'authorization': 'Bearer k'}
        sent = asyncio.create_task(_send(first, 'r1', headers=key))
        if ran_before:
            await wait_until(lambda: len(hanging.requests) == 1)
            lose_upstreams(first)
        assert_that(_status(await sent), Equals(200))
        spent = [sum(one.tokens for one in requests) for requests in asked]
        assert_that(spent, Equals([int(ran_before), int(not ran_before)]))

    run_linked(2, scenario)


def test_requests_that_wait_are_relayed_when_the_cut_is_noticed() -> None:
    upstream = Upstream()

    async def scenario(linked: LinkedEntries) -> None:
        linked.set_route(RouteKind.non_idempotent)
        await linked.start_upstreams(upstream.serve, upstream.serve)
        first = linked.entries[0]
        linked.cut(0, HANG)
        sent = [
            asyncio.create_task(_send(first, f'r{number}'))
            for number in range(30)
        ]
        answers = await asyncio.gather(*sent)
        assert_that({_status(one) for one in answers}, Equals({200}))
        assert_that(set(upstream.runs.values()), Equals({1}))

    run_linked(2, scenario)


def test_stream_that_has_begun_ends_so_that_its_caller_can_go_on() -> None:
    async def scenario(cut: CutEntry) -> None:
        async def begin(connection: RawConnection) -> None:
            await connection.write_head(EVENT_STREAM, 'chunks')
            await connection.write_body(_FIRST_EVENT, 'chunks')
            await asyncio.sleep(30)

        regain_upstreams(cut.harness)
        cut.set_route(RouteKind.stream, attempts=3, resumable=True)
        other = Upstream()
        await cut.start_others(other.serve)
        await cut.harness.start_raw_upstream(begin)
        reader, writer = await cut.open_request(deadline_ms=8000)
        await reader.readuntil(_FIRST_EVENT)
        lose_upstreams(cut.harness)
        async with asyncio.timeout(2):
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readuntil(b'0\r\n\r\n')
        writer.close()
        assert_that(other.heads, Equals([]))

    run_cut(scenario)


# Cuts that end, and what looks like one.


async def _wait_until_served(entry: ForwardingHarness, prefix: str) -> None:
    """Send requests until one is served; the rule allows some seconds."""
    async with asyncio.timeout(4):
        for number in itertools.count():
            answer = await _send(entry, f'{prefix}{number}')
            if _status(answer) == 200:
                return


async def _wait_until_regained(entry: ForwardingHarness) -> None:
    """Wait until upstreams are in reach, which one probe shows."""
    monitor = entry.services.reach.monitor
    await wait_until(lambda: not monitor.is_lost('models'), 2)


@pytest.mark.parametrize('how', [HANG, RESET])
def test_way_is_direct_again_soon_after_each_of_two_cuts(how: str) -> None:
    upstream = Upstream()

    async def scenario(linked: LinkedEntries) -> None:
        linked.set_route(RouteKind.idempotent, attempts=2)
        await linked.start_upstreams(*itertools.repeat(upstream.serve, 3))
        first = linked.entries[0]
        monitor = first.services.reach.monitor
        for number in range(2):
            linked.cut(0, how)
            await _wait_until_served(first, f'cut{number}-')
            assert_that(monitor.is_lost('models'), Is(True))
            await linked.heal(0)
            await _wait_until_regained(first)
            relayed = _count_relays(first)
            answer = await _send(first, f'direct{number}')
            assert_that(_status(answer), Equals(200))
            assert_that(_count_relays(first), Equals(relayed))

    run_linked(2, scenario)


def test_hardly_a_request_is_relayed_while_all_upstreams_are_down() -> None:
    """Each entry finds the same, and no request may go round for nothing."""
    upstream = Upstream()

    async def scenario(linked: LinkedEntries) -> None:
        linked.set_route(RouteKind.idempotent, attempts=2)
        await linked.start_upstreams(*itertools.repeat(upstream.serve, 3))
        for number in range(4):
            linked.cut(number, RESET)
        sent = []
        for number in range(100):
            entry = linked.entries[number % 4]
            sent.append(asyncio.create_task(_send(entry, f'r{number}', 1000)))
            await asyncio.sleep(0.02)
        answers = await asyncio.gather(*sent)
        assert_that({_status(one) for one in answers}, Equals({503}))
        relayed = sum(map(_count_relays, linked.entries))
        assert_that(relayed, LessThan(150))
        for number in range(4):
            await linked.heal(number)
        for one in linked.entries:
            await _wait_until_regained(one)
            assert_that(_status(await _send(one, 'after')), Equals(200))

    run_linked(4, scenario)


@pytest.mark.parametrize('down', [1, 2])
def test_nothing_is_relayed_while_some_upstreams_are_down(down: int) -> None:
    upstream = Upstream()

    async def scenario(linked: LinkedEntries) -> None:
        linked.set_route(RouteKind.idempotent, attempts=3)
        await linked.start_upstreams(*itertools.repeat(upstream.serve, 6))
        first = linked.entries[0]
        for link in list(linked.links[0].values())[:down]:
            link.cut(RESET)
        for number in range(60):
            answer = await _send(first, f'r{number}')
            assert_that(_status(answer), Equals(200))
        assert_that(_count_relays(first), Equals(0))

    run_linked(2, scenario)


def test_nothing_is_relayed_while_upstreams_are_silent_for_a_second() -> None:
    """Upstreams that pause accept connections, so the entry is not cut off."""
    upstream = Upstream(delay_s=1.2)

    async def scenario(linked: LinkedEntries) -> None:
        linked.set_route(RouteKind.idempotent, attempts=3)
        await linked.start_upstreams(*itertools.repeat(upstream.serve, 3))
        first = linked.entries[0]
        answers = await asyncio.gather(
            *(_send(first, f'r{number}') for number in range(6))
        )
        assert_that({_status(one) for one in answers}, Equals({200}))
        assert_that(_count_relays(first), Equals(0))

    run_linked(2, scenario)


# Planned stops.


def test_planned_stop_of_the_cut_entry_cuts_no_relayed_request() -> None:
    upstream = Upstream(delay_s=0.5)

    async def scenario(linked: LinkedEntries) -> None:
        linked.set_route(RouteKind.non_idempotent)
        await linked.start_upstreams(upstream.serve)
        first = linked.entries[0]
        lose_upstreams(first)
        sent = [
            asyncio.create_task(_send(first, f'r{number}'))
            for number in range(5)
        ]
        await wait_until(lambda: len(upstream.runs) == 5)
        await first.server.drain()
        answers = await asyncio.gather(*sent)
        assert_that({_status(one) for one in answers}, Equals({200}))

    run_linked(2, scenario)


def test_planned_stop_of_the_other_entry_tells_truly_what_ran() -> None:
    """What waits there goes on to a third entry, what runs may have run."""

    async def scenario(cut: CutEntry) -> None:
        third = Upstream()
        hanging = RawUpstream('hanging', _hang)
        server = await hanging.start()
        await cut.harness.stack.enter_async_context(server)
        second = ForwardingHarness(vm_name='second')
        await cut.harness.stack.enter_async_context(second)
        stopping = ForwardHandler(second.services)
        served = HttpServer(ANY_PORT, stopping, HttpBounds())
        await cut.harness.stack.enter_async_context(served)
        cut.set_route(RouteKind.non_idempotent)
        second.set_route(RouteKind.non_idempotent)
        await cut.start_others(third.serve)
        vms = cut.harness.control.view.vms
        set_vms(
            cut.harness,
            make_vm('second', str(served.address)),
            *(msgspec.structs.replace(vm, failure_domain='d2') for vm in vms),
        )
        second.raw_upstreams.append(hanging)
        second.set_facts()
        sent = [
            asyncio.create_task(cut.send(f'r{number}', 4000))
            for number in range(20)
        ]
        await wait_until(lambda: len(stopping.runners) == 20)
        await wait_until(lambda: len(hanging.requests) > 3)
        await asyncio.sleep(0.1)
        stopping.end_requests(has_begun=False)
        answers = await asyncio.gather(*sent)
        ran = {head[REQUEST_ID] for head in hanging.requests}
        assert_that(len(ran), GreaterThan(0))
        assert_that(len(ran), LessThan(20))
        for number, answer in enumerate(answers):
            expected = 504 if f'r{number}' in ran else 200
            assert_that(_status(answer), Equals(expected))
        again = ran & set(third.runs)
        assert_that(again, Equals(set()))

    run_cut(scenario)


# What the logs tell.


def _log_relayed_request(tmp_path: Path) -> list[LogLine]:
    """Return the log of two entries, of which one has the other run `r1`."""
    upstream = Upstream()

    async def scenario(linked: LinkedEntries) -> None:
        await linked.start_upstreams(upstream.serve)
        lose_upstreams(linked.entries[0])
        await _send(linked.entries[0], 'r1')

    # The first output also gets the lines that other tests have logged before.
    with LogOutput(LogLevel.debug, str(tmp_path / 'earlier')):
        log_event('earlier_lines')
    log_path = tmp_path / 'log'
    with LogOutput(LogLevel.debug, str(log_path)):
        run_linked(2, scenario)
    text = log_path.read_text(encoding='utf-8')
    for logged, parsed in (('timestamp', 'at'), ('message_type', 'event')):
        text = text.replace(f'"{logged}"', f'"{parsed}"')
    return parse_lines('vm', text.splitlines())


def test_logs_of_both_entries_explain_where_a_request_ran(
    tmp_path: Path,
) -> None:
    lines = _log_relayed_request(tmp_path)
    for order in (lines, list(reversed(lines))):
        explanation = RequestExplanation('r1', order)
        events = [line.event for line in explanation.lines]
        assert_that(set(events), Equals({'attempt', 'relay', 'request'}))
        assert_that(explanation.cause, Contains('answered with status 200'))
        assert_that(explanation.cause, Contains('vm1'))
        assert_that(explanation.cause, Not(Contains('not served')))


def test_relayed_request_is_reported_once_and_not_as_lost(
    tmp_path: Path,
) -> None:
    report = LossReport(_log_relayed_request(tmp_path))
    assert_that(report.answered, Equals(1))
    assert_that(report.sums, Equals(()))
