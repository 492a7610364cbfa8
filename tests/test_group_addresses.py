"""The members of the control group reach each other without a leader.

Guards against a group that elects no leader after all VMs have restarted and
two of its three seeds have lost their disks: the other members know each other
only by the view, which they get from a leader.
"""

import asyncio
import random
import shutil
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from bench.memory_system import wait_until
from bench.virtual_loop import run_in_virtual_time
from persimmonhold.control.shell import VmAgentRunner
from persimmonhold.messages import VmRecord
from persimmonhold.replication import ReplicaNode, ReplicaSettings
from persimmonhold.transport import (
    Channel,
    Receiver,
    TrafficCounters,
    Transport,
)
from tests._replication_fakes import RecordingApplier

_NAMES = ('vm1', 'vm2', 'vm3', 'vm4', 'vm5')
_SEEDS = _NAMES[:3]
_DELAY_S = 0.001
_RECOVERY_S = 12.0


def _address(name: str) -> str:
    return f'{name}:1'


class _AddressedTransport(Transport):
    """Reaches the VMs whose addresses were set, or learned from a message.

    Messages of consensus do not tell the address of their sender.
    """

    def __init__(self, name: str, network: dict[str, '_AddressedTransport']):
        self.name = name
        self.network = network
        self.counts = TrafficCounters()
        self.receivers: dict[Channel, Receiver] = {}
        self.configured: dict[str, str] = {}
        self.learned: set[str] = set()

    def send(self, peer: str, channel: Channel, payload: bytes) -> None:
        """Deliver a message soon, unless the address is unknown."""
        if self.configured.get(peer) or peer in self.learned:
            asyncio.get_running_loop().call_later(
                _DELAY_S, self._deliver, peer, channel, payload
            )

    def set_receiver(self, channel: Channel, receiver: Receiver) -> None:
        """Register the receiver of a channel."""
        self.receivers[channel] = receiver

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Replace the configured addresses."""
        self.configured = addresses

    def _deliver(self, peer: str, channel: Channel, payload: bytes) -> None:
        receiving = self.network.get(peer)
        if receiving is None or self.network.get(self.name) is not self:
            return
        if channel is not Channel.consensus:
            receiving.learned.add(self.name)
        receiver = receiving.receivers.get(channel)
        if receiver is not None:
            receiver(self.name, payload)


class _Group:
    """VMs with control, of which the first three are told to all."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.network: dict[str, _AddressedTransport] = {}
        self.replicas: dict[str, ReplicaNode] = {}
        self.rng = random.Random(3)
        self.stack = AsyncExitStack()

    async def start_all(self, *, is_first: bool) -> None:
        """Start all VMs at once."""
        for name in _NAMES:
            await self.start(name, is_first=is_first)

    async def start(self, name: str, *, is_first: bool) -> None:
        """Start the agent and the replica of a VM."""
        transport = _AddressedTransport(name, self.network)
        self.network[name] = transport
        seeds = {seed: _address(seed) for seed in _SEEDS}
        clock = asyncio.get_running_loop().time
        record = VmRecord(name=name, failure_domain='d1', peers=_address(name))
        vm = VmAgentRunner(record, seeds, transport, clock=clock)
        replica = ReplicaNode(
            ReplicaSettings(
                name=name,
                address=_address(name),
                initial_members=seeds,
                voter_count=len(_NAMES),
                can_bootstrap=is_first,
            ),
            self.directory / name,
            transport,
            RecordingApplier(),
            random.Random(self.rng.random()),
            clock,
        )
        replica.address_book.subscribe(vm.use_member_addresses)
        self.replicas[name] = await self.stack.enter_async_context(replica)
        agent = asyncio.create_task(vm.run())
        self.stack.callback(agent.cancel)

    async def stop_all(self) -> None:
        """Kill all VMs at once."""
        self.network.clear()
        await self.stack.aclose()
        self.stack = AsyncExitStack()
        self.replicas.clear()

    def wipe(self, name: str) -> None:
        """Have a VM lose its disk while it is down."""
        shutil.rmtree(self.directory / name)

    def is_formed(self) -> bool:
        """Tell whether a leader leads all VMs as voters."""
        return any(
            replica.is_leader
            and sum(one.is_voter for one in replica.status().members)
            == len(_NAMES)
            for replica in self.replicas.values()
        )

    def has_leader(self) -> bool:
        """Tell whether a VM leads."""
        return any(one.is_leader for one in self.replicas.values())


@pytest.mark.parametrize(
    'wiped',
    [('vm1', 'vm2'), ('vm1', 'vm4'), ('vm4', 'vm5'), ('vm3',), ()],
    ids='-'.join,
)
def test_group_recovers_whichever_disks_were_lost_with_all_processes(
    tmp_path: Path, wiped: tuple[str, ...]
) -> None:
    async def scenario() -> None:
        group = _Group(tmp_path)
        await group.start_all(is_first=True)
        await wait_until(group.is_formed)
        await asyncio.sleep(2)
        await group.stop_all()
        for name in wiped:
            group.wipe(name)
        await asyncio.sleep(1)
        await group.start_all(is_first=False)
        async with asyncio.timeout(_RECOVERY_S):
            await wait_until(group.has_leader)
            await wait_until(group.is_formed)
        await group.stop_all()

    run_in_virtual_time(scenario())


def test_replica_announces_the_members_of_its_stored_log(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        group = _Group(tmp_path)
        await group.start_all(is_first=True)
        await wait_until(group.is_formed)
        await asyncio.sleep(2)
        await group.stop_all()
        await group.start('vm5', is_first=False)
        await asyncio.sleep(0.1)
        configured = group.network['vm5'].configured
        assert_that(configured, Contains('vm4'))
        assert_that(configured['vm4'], Equals(_address('vm4')))
        await group.stop_all()

    run_in_virtual_time(scenario())
