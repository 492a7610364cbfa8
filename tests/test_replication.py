"""Tests of the replicated log with a lossy network and failing disks."""

import asyncio
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from persimmonhold.consensus import (
    Configuration,
    EntryKind,
    HardState,
    LogEntry,
    Member,
    Snapshot,
)
from persimmonhold.failures import FailureKind
from persimmonhold.replication import LogBounds
from persimmonhold.storage import LogStore
from tests._replica_cluster import FakeVm, propose_all, running
from tests._replication_fakes import (
    CrashError,
    FakeDisk,
    FakeNetwork,
    run_virtual,
)


@pytest.mark.parametrize('size', [1, 3, 5])
@pytest.mark.parametrize('loss', [0.0, 0.2])
def test_accepted_payloads_reach_every_applier(size: int, loss: float) -> None:
    async def scenario() -> None:
        async with running(size, loss=loss) as cluster:
            accepted = await propose_all(cluster, 30)
            leader = await cluster.leader()
            assert_that(await leader.read_barrier(), Equals(Success(32)))
            cluster.network.loss = 0
            await asyncio.sleep(2)
            assert_that(accepted, HasLength(30))
            for vm in cluster.vms:
                assert_that(vm.applier.payloads, Equals(accepted))

    run_virtual(scenario())


def test_accepted_payloads_outlive_a_restart_of_all() -> None:
    async def scenario() -> None:
        async with running(3) as cluster:
            accepted = await propose_all(cluster, 120)
            for vm in cluster.vms:
                await cluster.stop(vm.name)
            for vm in cluster.vms:
                await cluster.start(vm)
            leader = await cluster.leader()
            assert isinstance(await leader.read_barrier(), Success)
            payloads = cluster.vm(leader.leader).applier.payloads
            assert_that(payloads, Equals(accepted))

    run_virtual(scenario())


def test_proposals_of_one_turn_share_a_sync() -> None:
    async def scenario() -> None:
        async with running(1) as cluster:
            leader = await cluster.leader()
            before = leader.sync_count
            answers = await asyncio.gather(
                *(leader.propose(b'%d' % one) for one in range(100)),
            )
            assert_that(leader.sync_count - before, Equals(1))
            assert_that(set(map(type, answers)), Equals({Success}))

    run_virtual(scenario())


def test_silent_leader_loses_its_lease_and_its_proposals() -> None:
    async def scenario() -> None:
        async with running(3) as cluster:
            old = await cluster.leader()
            name = old.leader
            cluster.network.isolate(name, [vm.name for vm in cluster.vms])
            lost = asyncio.create_task(old.propose(b'lost'))
            await asyncio.sleep(0.6)
            assert_that(old.is_leader, Equals(False))
            new = await cluster.leader()
            assert_that(await new.propose(b'kept'), Equals(Success(1)))
            assert isinstance(await old.read_barrier(), type(await lost))
            cluster.network.cut_links.clear()
            await asyncio.sleep(2)
            payloads = cluster.vm(name).applier.payloads
            assert_that(payloads, Equals([b'kept']))

    run_virtual(scenario())


def test_leadership_is_handed_over() -> None:
    async def scenario() -> None:
        async with running(3) as cluster:
            old = await cluster.leader()
            name = (await old.transfer_leadership()).unwrap()
            new = await cluster.leader()
            assert_that(new.leader, Equals(name))
            assert_that(await new.propose(b'x'), Equals(Success(1)))

    run_virtual(scenario())


def test_lost_vm_is_replaced_by_the_spare() -> None:
    async def scenario() -> None:
        async with running(3, spares=1) as cluster:
            accepted = await propose_all(cluster, 80)
            await cluster.stop((await cluster.leader()).leader)
            await asyncio.sleep(10)
            leader = await cluster.leader()
            voters = [one.vm for one in leader.status().members]
            assert_that('vm3' in voters, Equals(True))
            assert_that(voters, HasLength(3))
            # The group must survive the loss of another VM directly after.
            await cluster.stop(leader.leader)
            leader = await cluster.leader()
            assert isinstance(await leader.read_barrier(), Success)
            payloads = cluster.vm('vm3').applier.payloads
            assert_that(payloads, Equals(accepted))

    run_virtual(scenario())


def test_full_queue_refuses_proposals() -> None:
    async def scenario() -> None:
        async with running(1) as cluster:
            leader = await cluster.leader()
            tasks = [
                asyncio.create_task(leader.propose(b'x')) for _ in range(5000)
            ]
            answers = await asyncio.gather(*tasks)
            refused = [one for one in answers if not isinstance(one, Success)]
            assert_that(refused, HasLength(5000 - 4096))
            kinds = {one.failure().kind for one in refused}
            assert_that(kinds, Equals({FailureKind.overloaded}))

    run_virtual(scenario())


@pytest.mark.parametrize(
    'bounds',
    [
        LogBounds(),
        LogBounds(bytes_per_snapshot=100, kept_bytes=40, segment_bytes=60),
    ],
    ids=['entries', 'bytes'],
)
@given(stop_at=st.integers(3, 160), seed=st.integers(0, 1000))
@settings(max_examples=60)
def test_nothing_accepted_is_lost_by_a_crash_at_any_step(
    bounds: LogBounds,
    stop_at: int,
    seed: int,
) -> None:
    """The disk of a single replica fails at a given step, twice."""

    async def scenario() -> None:
        vm = FakeVm('vm0', FakeNetwork(), 1)
        vm.snapshot_entries = 8
        vm.bounds = bounds
        accepted: list[bytes] = []
        for life in range(3):
            vm.disk = vm.disk.after_crash(random.Random(seed + life))
            vm.disk.fail_at_step = stop_at if life < 2 else -1
            accepted.extend(await _propose_until_disk_fails(vm, b'%d' % life))
        kept = [one for one in vm.applier.payloads if one in accepted]
        assert_that(kept, Equals(accepted))
        assert_that(accepted[-1], Equals(b'2.39'))

    run_virtual(scenario())


async def _propose_until_disk_fails(vm: FakeVm, prefix: bytes) -> list[bytes]:
    """Propose until the disk fails; return the accepted payloads."""
    accepted = []
    try:
        async with vm.create_node() as node:
            await asyncio.sleep(0.1)
            for number in range(40):
                payload = prefix + b'.%d' % number
                answer = await node.propose(payload)
                if isinstance(answer, Success):
                    accepted.append(payload)
            assert (
                node.failure is not None or vm.disk.fail_at_step < 0 or accepted
            )
    except CrashError:
        return accepted
    return accepted


def test_failed_disk_stops_the_replica_and_another_leads() -> None:
    async def scenario() -> None:
        async with running(3) as cluster:
            old = await cluster.leader()
            disk = cluster.vm(old.leader).disk
            disk.fail_at_step = disk.steps
            refused = (await old.propose(b'lost')).failure()
            assert_that(refused.kind, Equals(FailureKind.no_quorum))
            assert_that(old.is_leader, Equals(False))
            assert old.failure is not None
            assert_that(
                old.failure.kind,
                Equals(FailureKind.storage_unwritable),
            )
            assert_that((await cluster.leader()) is old, Equals(False))

    run_virtual(scenario())


def test_wiped_vm_takes_a_snapshot_and_votes_again() -> None:
    async def scenario() -> None:
        async with running(3) as cluster:
            accepted = await propose_all(cluster, 130)
            leader = await cluster.leader()
            wiped = next(vm for vm in cluster.vms if vm.name != leader.leader)
            await cluster.stop(wiped.name)
            wiped.disk = FakeDisk()
            await cluster.start(wiped)
            await asyncio.sleep(5)
            assert_that(wiped.applier.payloads, Equals(accepted))
            members = leader.status().members
            assert_that(
                [one.is_voter for one in members], Equals([True, True, True])
            )
            found = next(one for one in members if one.vm == wiped.name)
            own = cluster.nodes[wiped.name].status()
            assert_that(found.incarnation, Equals(own.incarnation))
            assert_that(found.match_index, Equals(own.last_index))

    run_virtual(scenario())


def test_entries_behind_a_snapshot_that_replaced_the_log_are_kept() -> None:
    """A crash before the replaced files were removed lost later entries."""

    async def scenario() -> None:
        vm = FakeVm('vm0', FakeNetwork(), 1)
        state = HardState(replica='vm0/1', term=2)
        snapshot = Snapshot(
            index=4,
            term=2,
            configuration=Configuration((Member('vm0/1', 'vm0'),)),
            state=msgspec.msgpack.encode([b'snapshot']),
        )
        store = LogStore(vm.disk)
        store.recover().unwrap()
        store.write_hard_state(msgspec.msgpack.encode(state))
        for index in range(1, 6):
            replaced = LogEntry(index, 1, EntryKind.command, b'replaced')
            store.append_records((msgspec.msgpack.encode(replaced),))
        store.write_snapshot(msgspec.msgpack.encode(snapshot))
        for payload in (b'first', b'second'):
            async with vm.create_node() as node:
                await asyncio.sleep(1)
                assert isinstance(await node.propose(payload), Success)
        assert_that(
            vm.applier.payloads, Equals([b'snapshot', b'first', b'second'])
        )

    run_virtual(scenario())


def test_damaged_log_is_named_and_not_used() -> None:
    async def scenario() -> None:
        vm = FakeVm('vm0', FakeNetwork(), 1)
        async with vm.create_node() as node:
            await asyncio.sleep(0.1)
            await node.propose(b'1')
            await node.propose(b'2')
        file = vm.disk.files['log-000000000001']
        file.content = file.content[:30] + b'?' + file.content[31:]
        with pytest.raises(OSError, match='log-000000000001.*byte 0'):
            await vm.create_node().__aenter__()

    run_virtual(scenario())
