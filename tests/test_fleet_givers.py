"""Who gives orders when control changes hands; in virtual time."""

import asyncio
import random
from pathlib import Path

import msgspec
import pytest
from returns.result import Result, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from bench.memory_system import MemorySystem
from bench.virtual_loop import run_virtual
from persimmonhold.failures import Failure
from persimmonhold.fleet import (
    EntryReport,
    FleetOrder,
    HeldModel,
    ListedUpstream,
    ModelDemand,
    OrderVerdict,
    UpstreamReport,
)
from persimmonhold.forwarding import FleetRunner, UpstreamSource
from persimmonhold.transport import Channel
from tests.fleet_builders import make_document

_LEASE_S = 3.0
_SLACK_S = 0.001


class RecordingSource:
    """One upstream that swaps its models at each order; keeps the orders."""

    def __init__(self, orders: list[tuple[float, str, int]]) -> None:
        self.orders = orders
        self.accepted = 0
        self.models: list[str] = ['m1', 'm2']

    def of(self, holder: str) -> 'HeldSource':
        """Return the source as one VM uses it."""
        return HeldSource(self, holder)


class HeldSource(UpstreamSource):
    """The source of one VM."""

    def __init__(self, shared: RecordingSource, holder: str) -> None:
        self.shared = shared
        self.holder = holder

    async def read_list(self) -> Result[tuple[ListedUpstream, ...], Failure]:
        """List the upstream."""
        listed = ListedUpstream(
            name='u1',
            service='models',
            address='127.0.0.1:1',
            failure_domain='d1',
            slots=4,
            born_ms=1,
            models=(),
        )
        return Success((listed,))

    async def read_report(
        self,
        upstream: str,
        address: str,
    ) -> Result[UpstreamReport, Failure]:
        """Describe the upstream."""
        return Success(
            UpstreamReport(
                born_ms=1,
                accepted_orders=self.shared.accepted,
                is_busy=False,
                models=tuple(HeldModel(one) for one in self.shared.models),
            ),
        )

    async def give_order(
        self,
        upstream: str,
        address: str,
        order: FleetOrder,
        fence: int,
    ) -> OrderVerdict:
        """Carry an order out and keep who gave it."""
        now = asyncio.get_running_loop().time()
        self.shared.orders.append((now, self.holder, fence))
        if order.expected != self.shared.accepted:
            return OrderVerdict.conflict
        self.shared.accepted += 1
        if order.model in self.shared.models:
            self.shared.models.remove(order.model)
        else:
            self.shared.models.append(order.model)
        return OrderVerdict.accepted

    def close(self) -> None:
        """Close nothing."""


async def _ask(system: MemorySystem) -> None:
    """Report a demand that moves from model to model, to every control VM."""
    sequence = 0
    while True:
        sequence += 1
        wanted = 1 + sequence // 12 % 4
        report = EntryReport(
            term=0,
            number=0,
            sequence=sequence,
            demand=tuple(
                ModelDemand('models', f'm{one}', 0, 0, 0, 3 * (one == wanted))
                for one in range(1, 5)
            ),
        )
        for name in system.control:
            system.network.carry(
                system.names[-1],
                name,
                Channel.fleet,
                msgspec.msgpack.encode(report),
            )
        await asyncio.sleep(0.1)


async def _disturb(system: MemorySystem, source: random.Random) -> None:
    """Cut, kill and restore control VMs, the leader most of all."""
    for _ in range(6):
        await asyncio.sleep(source.uniform(2, 8))
        leads = [
            name
            for name in system.control
            if name not in system.network.down
            and (node := system.vms[name].node) is not None
            and node.leads
        ]
        name = leads[0] if leads else source.choice(system.control)
        others = set(system.names) - {name}
        system.network.cut_sides({name}, others)
        await asyncio.sleep(source.uniform(0.3, 5))
        system.network.cut.clear()


@pytest.mark.parametrize('seed', range(6))
def test_orders_of_two_givers_keep_the_lease_apart(
    tmp_path: Path,
    seed: int,
) -> None:
    orders: list[tuple[float, str, int]] = []

    async def scenario() -> None:
        system = MemorySystem(5, 3, seed, tmp_path)
        shared = RecordingSource(orders)
        async with system:
            await system.await_leader()
            tasks = [asyncio.create_task(_ask(system))]
            for name in system.control:
                vm = system.vms[name]
                assert vm.node is not None
                runner = FleetRunner(
                    vm.node,
                    system.network.transports[name],
                    shared.of(name),
                    _LEASE_S,
                    asyncio.get_running_loop().time,
                )
                tasks.append(asyncio.create_task(runner.run()))
            put = await system.leader.put_routes(make_document())
            put.unwrap()
            await _disturb(system, random.Random(seed))
            await asyncio.sleep(8)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    run_virtual(scenario())
    assert_that(len(orders), GreaterThan(10))
    fences = [fence for _, _, fence in orders]
    assert_that(fences, Equals(sorted(set(fences))))
    for (before, one, _), (after, other, _) in zip(
        orders,
        orders[1:],
        strict=False,
    ):
        if one != other:
            assert_that(after - before, GreaterThan(_LEASE_S - _SLACK_S))
