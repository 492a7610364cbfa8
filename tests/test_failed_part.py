"""A VM with a failed part finishes or refuses the requests that it has.

Virtual time; callers and upstreams use sockets on loopback.
"""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self, TypeVar, final
from unittest.mock import create_autospec

import pytest
from testtools.assertions import assert_that
from testtools.matchers import AllMatch, Equals, LessThan

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.control.shell import RemoteControlLink
from persimmonhold.entry import Entry
from persimmonhold.forwarding import ForwardEntry
from persimmonhold.routes import RouteKind
from persimmonhold.settings import CallerSettings, Settings, VmSettings
from persimmonhold.system import run_until_stopped
from persimmonhold.system._base_vm import BaseVm
from persimmonhold.system._control_role import ControlRole
from persimmonhold.system._leader_work import LeaderWork
from persimmonhold.web import (
    ClientConnection,
    ClientRequest,
    Exchange,
    encode_headers,
)
from tests.entry_builders import EntryHarness, ScriptedUpstream
from tests.stopping_entry import CLOSED, StoppingEntry

_ResultT = TypeVar('_ResultT')
_LONG_S: Final = 600.0
_MAX_FAILED_STOP_S: Final = 37.0
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
_SERVICE_SLOTS: Final = 16
_TTL_S: Final = 1.0


@final
class _HarnessVm(BaseVm):
    """A VM without control and transport, whose entry a harness starts."""

    def __init__(self, entry: Entry | ForwardEntry) -> None:
        super().__init__(
            Settings(vm=VmSettings(name='vm1', failure_domain='d1'))
        )
        self.entry = entry

    async def __aenter__(self) -> Self:
        await self.stack.enter_async_context(self.background)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.entry.__aexit__(exc_type, exc, traceback)
        await self.stack.aclose()

    async def drain_entry(self, *, at_once: bool) -> None:
        """Drain the entry of the harness."""
        await self.entry.drain(at_once=at_once)

    def create_leader_work(self) -> LeaderWork:
        """Fail, since the VM has no control role."""
        raise NotImplementedError

    async def start_entry(
        self, stack: AsyncExitStack, link: RemoteControlLink
    ) -> None:
        """Fail, since the harness starts the entry."""
        raise NotImplementedError


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _end() -> None:
    """Stand for a part that fails at once."""


async def _run_failing(
    vm: _HarnessVm, after_s: float = 0
) -> tuple[bool, float]:
    """Run a VM of which a part fails; return its result and how long it took."""
    running = asyncio.create_task(run_until_stopped(lambda: vm))
    await asyncio.sleep(0.01 + after_s)
    failed_at = _now()
    vm.background.start_task(_end(), 'part')
    return await running, _now() - failed_at


def _run(
    scenario: Callable[[EntryHarness], Awaitable[_ResultT]],
    upstream: ScriptedUpstream,
) -> _ResultT:
    callers = CallerSettings(directory_ttl_s=_TTL_S, drain_margin_s=1.0)

    async def run_scenario() -> _ResultT:
        async with EntryHarness(upstream, callers=callers) as harness:
            return await scenario(harness)

    return run_in_virtual_time(run_scenario())


def _hang_or_answer_after(delay_s: float) -> ScriptedUpstream:
    """Return a service that answers /short after a delay, and nothing else."""

    async def script(exchange: Exchange) -> None:
        is_short = exchange.head.path.endswith('/short')
        await asyncio.sleep(delay_s if is_short else _LONG_S)
        await exchange.respond(200, b'answer')

    return ScriptedUpstream('replica-1', script)


async def _connect(harness: EntryHarness) -> ClientConnection:
    opened = await ClientConnection.connect(harness.entry.address, 1.0)
    return opened.unwrap()


async def _call(
    connection: ClientConnection, path: str, service_class: str = 'batch'
) -> int:
    """Return the status of a call, or CLOSED."""
    headers = {
        'persimmonhold-deadline-ms': '3600000',
        'persimmonhold-class': service_class,
    }
    request = ClientRequest(
        method='POST',
        target=f'/services/lodgements/{path}',
        headers=encode_headers(headers),
    )
    await connection.send_request(request)
    received = await connection.receive_head()
    return received.map(lambda head: head.status).value_or(CLOSED)


async def _start(harness: EntryHarness, path: str) -> asyncio.Task[int]:
    call = asyncio.create_task(_call(await _connect(harness), path))
    await asyncio.sleep(0.01)
    return call


def test_failed_part_lets_requests_finish_or_be_refused() -> None:
    async def scenario(
        harness: EntryHarness,
    ) -> tuple[list[int], bool, float]:
        calls = [await _start(harness, 'short')]
        calls.extend([
            await _start(harness, 'long') for _ in range(_SERVICE_SLOTS + 3)
        ])
        failed, took_s = await _run_failing(_HarnessVm(harness.entry))
        return [await call for call in calls], failed, took_s

    statuses, failed, took_s = _run(scenario, _hang_or_answer_after(5.0))
    assert_that(failed, Equals(True))
    assert_that(statuses[0], Equals(200))
    sent = statuses[1:_SERVICE_SLOTS]
    assert_that(sent, AllMatch(Equals(_GATEWAY_TIMEOUT)))
    # The last one waited for a slot, and only one became free.
    assert_that(statuses[-1], Equals(_UNAVAILABLE))
    assert_that(took_s, LessThan(_MAX_FAILED_STOP_S))


def test_failed_part_ends_new_requests_and_connections_at_once() -> None:
    async def scenario(harness: EntryHarness) -> tuple[int, bool, float]:
        running = await _start(harness, 'short')
        reader, writer = await asyncio.open_connection(
            harness.entry.address.host, harness.entry.address.port
        )
        head = (
            b'POST /services/lodgements/short HTTP/1.1\r\nhost: a\r\n'
            b'content-length: 0\r\n'
        )
        writer.write(head)
        vm = _HarnessVm(harness.entry)
        stopping = asyncio.create_task(_run_failing(vm))
        await asyncio.sleep(0.1)
        writer.write(b'\r\n')
        received = await reader.read()
        writer.close()
        opened = await ClientConnection.connect(harness.entry.address, 1.0)
        is_refused = opened.map(lambda _: False).value_or(True)
        assert_that(await running, Equals(200))
        _, took_s = await stopping
        return int(received[9:12] or CLOSED), is_refused, took_s

    status, is_refused, took_s = _run(scenario, _hang_or_answer_after(2.0))
    assert_that(status, Equals(_UNAVAILABLE))
    assert_that(is_refused, Equals(True))
    # Nothing is left to finish, so the drain timeout is not waited for.
    assert_that(took_s, LessThan(4.0))


def test_idle_vm_with_a_failed_part_ends_at_once() -> None:
    async def scenario(harness: EntryHarness) -> tuple[bool, float]:
        harness.link.announce_s = 4.0
        connection = await _connect(harness)
        outcome = await _run_failing(_HarnessVm(harness.entry), 0.5)
        connection.close()
        return outcome

    failed, took_s = _run(scenario, _hang_or_answer_after(1.0))
    assert_that(failed, Equals(True))
    assert_that(took_s, LessThan(0.5))


@pytest.mark.parametrize('drained_s', [0.5, 1.5, 3.0])
def test_part_that_fails_in_a_planned_stop_ends_its_serving_phase(
    drained_s: float,
) -> None:
    async def scenario(
        harness: EntryHarness,
    ) -> tuple[int, int, bool, float]:
        short = await _start(harness, 'short')
        long = await _start(harness, 'long')
        vm = _HarnessVm(harness.entry)
        running = asyncio.create_task(run_until_stopped(lambda: vm))
        await asyncio.sleep(0.01)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(drained_s)
        failed_at = _now()
        vm.background.start_task(_end(), 'part')
        failed = await running
        return await short, await long, failed, _now() - failed_at

    short, long, failed, took_s = _run(scenario, _hang_or_answer_after(10.0))
    assert_that((short, long), Equals((200, _GATEWAY_TIMEOUT)))
    assert_that(failed, Equals(True))
    assert_that(took_s, LessThan(_MAX_FAILED_STOP_S))


@pytest.mark.parametrize('is_failed', [False, True])
def test_control_role_is_drained_unless_a_part_has_failed(
    is_failed: bool,
) -> None:
    control = create_autospec(ControlRole, instance=True)

    async def scenario(harness: EntryHarness) -> bool:
        vm = _HarnessVm(harness.entry)
        vm.control = control
        if is_failed:
            failed, _ = await _run_failing(vm)
            return failed
        running = asyncio.create_task(run_until_stopped(lambda: vm))
        await asyncio.sleep(0.01)
        os.kill(os.getpid(), signal.SIGTERM)
        return await running

    failed = _run(scenario, _hang_or_answer_after(1.0))
    assert_that(failed, Equals(is_failed))
    assert_that(control.drain.await_count, Equals(0 if is_failed else 1))


def test_failed_part_of_a_forwarding_vm_cuts_no_request() -> None:
    async def answer_late(exchange: Exchange) -> None:
        await exchange.read_body()
        await asyncio.sleep(2.0)
        headers = {
            'attempt-id': exchange.head.header('attempt-id'),
            'server-signature': 'signed',
        }
        await exchange.respond(200, b'answer', headers=encode_headers(headers))

    async def scenario() -> tuple[list[int], bool, float]:
        async with StoppingEntry() as harness:
            harness.set_route(RouteKind.idempotent)
            await harness.start_upstream(answer_late)
            calls = [harness.start_call() for _ in range(6)]
            await asyncio.sleep(0.1)
            vm = _HarnessVm(harness.entry)
            failed, took_s = await _run_failing(vm)
            outcomes = [await call for call in calls]
        statuses = sorted(outcome.status for outcome in outcomes)
        return statuses, failed, took_s

    statuses, failed, took_s = run_in_virtual_time(scenario())
    assert_that(statuses[:3], Equals([200, 200, 200]))
    assert_that(set(statuses[3:]), Equals({_UNAVAILABLE}))
    assert_that(failed, Equals(True))
    assert_that(took_s, LessThan(8.0))
