"""The runner of placement against stand-in engines on loopback."""

import asyncio
from pathlib import Path
from typing import final

import pytest
from returns.result import Failure as Failed
from returns.result import Result
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from persimmonhold.cli import DevSystem
from persimmonhold.control.machine import (
    Command,
    CommandResult,
    ControlState,
    ControlStateMachine,
    RecordCopy,
)
from persimmonhold.control.shell import PlacementHost, PlacementRunner
from persimmonhold.control.shell._placement_engine_client import (
    PlacementEngineClient,
)
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.messages import (
    Copy,
    CopyState,
    Demand,
    Order,
    OrderKind,
)
from persimmonhold.standin import EngineHandler, EngineMemory
from persimmonhold.standin._faults import Faults
from persimmonhold.web import Address

_ANY_PORT = Address('127.0.0.1', 0)
_TARGETS = frozenset(('tutor', 'reviewer', 'tutor-harness'))


@pytest.fixture
def system(tmp_path: Path) -> DevSystem:
    return DevSystem(tmp_path, _ANY_PORT, _ANY_PORT)


def _engines(system: DevSystem) -> list[EngineHandler]:
    handlers = (standin.handler for standin in system.standins.values())
    return [each for each in handlers if isinstance(each, EngineHandler)]


def _all_serve(system: DevSystem) -> bool:
    """Tell whether all targets serve, as recorded and in engine memory."""
    state = system.node.state
    recorded = {
        copy.target
        for copy in state.copies.values()
        if copy.state is CopyState.serving
    }
    held = {
        target
        for handler in _engines(system)
        for target in _TARGETS
        if handler.memory.is_serving(target)
    }
    return recorded & held >= _TARGETS and not state.orders


async def _await_all(system: DevSystem) -> None:
    while not _all_serve(system):
        await system.control_link.view_changed.wait()
        await asyncio.sleep(0)


def test_lost_orders_are_resent_until_all_models_serve(
    system: DevSystem,
) -> None:
    async def scenario() -> None:
        async with system:
            for handler in _engines(system):
                handler.faults = Faults(order_loss=0.5, order_delay_ms=20)
            await _await_all(system)

    asyncio.run(scenario())
    memories = [handler.memory for handler in _engines(system)]
    assert_that([each.overcommitted for each in memories], Equals([0, 0]))


def test_engines_that_restart_empty_are_filled_again(
    system: DevSystem,
) -> None:
    async def scenario() -> None:
        async with system:
            await _await_all(system)
            for handler in _engines(system):
                handler.memory = EngineMemory(
                    'second boot',
                    handler.memory.capacity_bytes,
                )
            await _await_all(system)

    asyncio.run(scenario())
    loads = sum(handler.memory.loads for handler in _engines(system))
    assert_that(loads, GreaterThan(len(_TARGETS) - 1))


def test_deposed_leader_writes_no_order(system: DevSystem) -> None:
    order = Order(
        fence=10_000,
        kind=OrderKind.load,
        upstream='engine-1',
        accelerator='a0',
        target='tutor',
        version='9',
        memory_bytes=1,
    )

    async def scenario() -> FailureKind:
        async with system:
            peer = system.standins['engine-1'].address
            link = PlacementEngineClient(bool)
            return (await link.send_order(peer, order)).failure().kind

    assert_that(asyncio.run(scenario()), Equals(FailureKind.not_leader))
    strays = [
        held
        for handler in _engines(system)
        for held in handler.memory.held_items.values()
        if held.version == '9'
    ]
    assert_that(strays, HasLength(0))


@final
class _DeposedHost(PlacementHost):
    """Reports that it leads, although another leader has taken over."""

    def __init__(self) -> None:
        """Create a host whose control state has one engine."""
        self.machine = ControlStateMachine()
        self.proposals = 0
        self.gave_up = asyncio.Event()

    @property
    def is_leader(self) -> bool:
        """Tell whether orders may be sent."""
        return True

    @property
    def state(self) -> ControlState:
        """The applied state, with a copy at an upstream that is not known."""
        state = self.machine.state
        if not state.copies:
            copy = Copy(
                target='m',
                version='1',
                upstream='gone',
                accelerator='a0',
                state=CopyState.serving,
                fence=1,
            )
            self.machine.apply(1, RecordCopy(at_ms=0, copy=copy))
        return state

    async def propose(
        self,
        command: Command,
    ) -> Result[CommandResult, Failure]:
        """Fail as a replica that has lost its leadership."""
        self.proposals += 1
        self.gave_up.set()
        return Failed(Failure(kind=FailureKind.not_leader, step='propose'))

    def now_ms(self) -> int:
        """Return the time of commands."""
        return 0

    def demand(self) -> tuple[Demand, ...]:
        """Return no demand."""
        return ()

    def is_in_force(self, index: int) -> bool:
        """Report every index as applied by all entries."""
        return True


def test_lost_leadership_is_given_up_at_once() -> None:
    host = _DeposedHost()
    runner = PlacementRunner(host)

    async def scenario() -> bool:
        task = asyncio.get_running_loop().create_task(runner.run())
        await host.gave_up.wait()
        await asyncio.sleep(0)
        task.cancel()
        return runner.is_leading

    assert_that(asyncio.run(scenario()), Equals(False))
    assert_that(host.proposals, Equals(1))
