"""Tests that the control log is bounded by size, not only by entries."""

import asyncio
import math
import random
import tracemalloc
from collections.abc import Callable

import msgspec
import pytest
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from persimmonhold.consensus import EntryKind, LogEntry
from persimmonhold.control.machine._view_state import ViewState
from persimmonhold.failures import FailureKind
from persimmonhold.messages import ViewChange
from persimmonhold.replication import LogBounds, ReplicaNode, _log_writer
from persimmonhold.replication._stored_entry import decode_entry
from persimmonhold.routes import RoutingDocument
from persimmonhold.storage import LogStore
from tests._replica_cluster import Cluster, FakeVm, running
from tests._replication_fakes import (
    FakeDisk,
    LatestPayloadApplier,
    loop_time,
    run_virtual,
)

_BYTES_PER_MB = 1_000_000
_KB = 1000
# The machines of a control VM: disk and memory in MB.
_DISK_MB = 128
_MEMORY_MB = 296
# How much of the memory the log may take beside everything else.
_MEMORY_PART = 4
_CATCH_UP_S = 4.0
_LINK_BYTES_PER_S = 170_000_000 / 8  # of a control VM


def _keep_latest_document(
    bounds: LogBounds, disk_mb: float = math.inf
) -> Callable[[FakeVm], None]:
    """Return what prepares a VM whose state is the latest document."""

    def prepare(vm: FakeVm) -> None:
        vm.create_applier = LatestPayloadApplier
        vm.bounds = bounds
        vm.snapshot_entries = 8192
        vm.part_bytes = 1_048_576
        vm.disk.capacity_bytes = disk_mb * _BYTES_PER_MB

    return prepare


def _document(number: int, size_bytes: int) -> bytes:
    return (b'%d route; ' % number * (size_bytes // 8 + 1))[:size_bytes]


async def _change(cluster: Cluster, payload: bytes) -> None:
    """Propose a payload until it is accepted."""
    while True:
        leader = await cluster.leader()
        if isinstance(await leader.propose(payload), Success):
            return


async def _change_often(cluster: Cluster, count: int) -> bytes:
    """Make `count` changes; return the last one."""
    payload = b''
    for number in range(count):
        payload = _document(number, 320 * _KB)
        await _change(cluster, payload)
    return payload


def _replica_sizes(cluster: Cluster) -> list[int]:
    """Return what each replica holds of log and snapshot in memory."""
    statuses = [node.status() for node in cluster.nodes.values()]
    return [one.log_bytes + one.snapshot_bytes for one in statuses]


@pytest.mark.parametrize(
    ('sizes_kb', 'scale'),
    [
        ((80,), 0.5),
        ((320,), 0.5),
        ((320,), 1),
        ((4000,), 0.5),
        ((8, 4000), 0.5),
        ((320, 8), 2),
    ],
)
def test_log_of_long_changes_fits_on_disk_and_in_memory(
    sizes_kb: tuple[int, ...], scale: float
) -> None:
    """Hundreds of changes of 320 kB filled the disks of all control VMs."""

    async def scenario() -> None:
        disk_mb = int(_DISK_MB * scale)
        memory_mb = int(_MEMORY_MB * scale)
        bounds = LogBounds.for_resources(disk_mb, memory_mb)
        async with running(
            3, prepare=_keep_latest_document(bounds, disk_mb)
        ) as cluster:
            rng = random.Random(0)
            written = 0
            number = 0
            while written < 1.25 * disk_mb * _BYTES_PER_MB:
                size = sizes_kb[number % len(sizes_kb)] * _KB
                await _change(cluster, rng.randbytes(size))
                number += 1
                written += size
                memory = max(_replica_sizes(cluster))
                limit = memory_mb * _BYTES_PER_MB // _MEMORY_PART
                assert_that(memory, LessThan(limit))
            for vm in cluster.vms:
                peak = vm.disk.peak_bytes
                assert_that(peak, LessThan(disk_mb * _BYTES_PER_MB // 2))

    run_virtual(scenario())


def test_replicas_take_their_snapshots_at_different_entries() -> None:
    """All waited for their disks at once, and the leader lost its term."""

    async def scenario() -> None:
        bounds = LogBounds.for_resources(_DISK_MB, _MEMORY_MB)
        prepare = _keep_latest_document(bounds, _DISK_MB)
        async with running(3, prepare=prepare) as cluster:
            taken: dict[str, set[int]] = {vm.name: set() for vm in cluster.vms}
            for _ in range(300):
                await _change_often(cluster, 1)
                for name, node in cluster.nodes.items():
                    taken[name].add(node.status().snapshot_index)
            shared = set.intersection(*taken.values()) - {0}
            assert_that(min(map(len, taken.values())), GreaterThan(5))
            assert_that(len(shared), LessThan(2))

    run_virtual(scenario())


def test_start_reads_a_log_that_is_bounded() -> None:
    """A start after 390 changes of 320 kB used three times their size."""

    async def scenario() -> None:
        bounds = LogBounds.for_resources(_DISK_MB, _MEMORY_MB)
        prepare = _keep_latest_document(bounds, _DISK_MB)
        async with running(3, prepare=prepare) as cluster:
            latest = await _change_often(cluster, 390)
            for vm in cluster.vms:
                await cluster.stop(vm.name)
            for vm in cluster.vms:
                await cluster.start(vm)
            leader = await cluster.leader()
            await leader.read_barrier()
            applier = cluster.vm(leader.leader).applier
            assert_that(applier.payloads, Equals([latest]))
            limit = _MEMORY_MB * _BYTES_PER_MB // _MEMORY_PART
            for node in cluster.nodes.values():
                assert_that(node.status().recovered_bytes, LessThan(limit))

    run_virtual(scenario())


def test_start_holds_each_entry_once() -> None:
    """A start held the files, their records and their entries at once."""
    disk = FakeDisk()
    store = LogStore(disk)
    store.recover().unwrap()
    for number in range(1, 101):
        payload = _document(number, 320 * _KB)
        entry = LogEntry(number, 1, EntryKind.command, payload)
        store.append_records((msgspec.msgpack.encode(entry),))
    log_bytes = store.log_bytes
    tracemalloc.start()
    try:
        found = LogStore(disk).recover_decoded(decode_entry).unwrap()
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert_that(len(found.records), Equals(100))
    assert_that(peak_bytes, LessThan(1.5 * log_bytes))


@pytest.mark.parametrize('free_kb', [40, 300])
def test_log_of_an_earlier_build_is_compacted_on_a_nearly_full_disk(
    free_kb: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With no room for one more change, every start failed as the last did."""
    monkeypatch.setattr(_log_writer, 'encode_entry', msgspec.msgpack.encode)

    async def scenario() -> None:
        earlier = msgspec.structs.replace(
            LogBounds.for_resources(1_000_000, 1_000_000),
            segment_bytes=4_194_304,
        )
        prepare = _keep_latest_document(earlier)
        async with running(3, prepare=prepare) as cluster:
            latest = await _change_often(cluster, 390)
            bounds = LogBounds.for_resources(_DISK_MB, _MEMORY_MB)
            for vm in cluster.vms:
                await cluster.stop(vm.name)
                assert_that(vm.disk.used_bytes, GreaterThan(120_000_000))
                vm.bounds = bounds
                vm.disk.capacity_bytes = vm.disk.used_bytes + free_kb * _KB
            for vm in cluster.vms:
                await cluster.start(vm)
            await (await cluster.leader()).read_barrier()
            await asyncio.sleep(1)
            for vm in cluster.vms:
                assert_that(cluster.nodes[vm.name].failure, Equals(None))
                used = vm.disk.used_bytes
                assert_that(used, LessThan(_DISK_MB * _BYTES_PER_MB // 2))
                assert_that(vm.applier.payloads, Equals([latest]))
            await _change(cluster, _document(390, 320 * _KB))

    run_virtual(scenario())


@pytest.mark.parametrize('changes_before', [30, 400])
def test_wiped_voter_catches_up_while_changes_go_on(
    changes_before: int,
) -> None:
    """It took longer with each change that had ever been made."""

    async def scenario() -> None:
        bounds = LogBounds.for_resources(_DISK_MB, _MEMORY_MB)
        prepare = _keep_latest_document(bounds, _DISK_MB)
        async with running(3, prepare=prepare) as cluster:
            await _change_often(cluster, changes_before)
            leader = await cluster.leader()
            wiped = next(vm for vm in cluster.vms if vm.name != leader.leader)
            await cluster.stop(wiped.name)
            wiped.disk = FakeDisk()
            cluster.network.sent_bytes.clear()
            await cluster.start(wiped)
            began_at = loop_time()
            made = 0
            while not _is_voter(cluster, wiped.name):
                await _change_often(cluster, 1)
                made += 1
                assert_that(loop_time() - began_at, LessThan(_CATCH_UP_S))
            received = sum(
                size
                for pair, size in cluster.network.sent_bytes.items()
                if pair[1] == wiped.name
            )
            assert_that(received, LessThan(_CATCH_UP_S * _LINK_BYTES_PER_S))

    run_virtual(scenario())


def _is_voter(cluster: Cluster, name: str) -> bool:
    own = cluster.nodes[name].status().incarnation
    return any(
        member.incarnation == own and member.is_voter
        for node in cluster.nodes.values()
        for member in node.status().members
        if node.is_leader
    )


@pytest.mark.parametrize('is_empty', [False, True])
def test_member_that_does_not_answer_is_sent_little(*, is_empty: bool) -> None:
    """Up to 4,096 entries of any size waited for a stopped follower."""

    async def scenario() -> None:
        bounds = LogBounds.for_resources(_DISK_MB, _MEMORY_MB)
        prepare = _keep_latest_document(bounds, _DISK_MB)
        async with running(3, prepare=prepare) as cluster:
            leader = await cluster.leader()
            silent = next(vm for vm in cluster.vms if vm.name != leader.leader)
            if is_empty:
                await _change_often(cluster, 60)
                await cluster.stop(silent.name)
                silent.disk = FakeDisk()
                await cluster.start(silent)
                async with asyncio.timeout(1):
                    await _wait_for_members(leader, 4)
            cluster.network.cut_links.add((silent.name, leader.leader))
            cluster.network.sent_bytes.clear()
            ends_at = loop_time() + 2
            while loop_time() < ends_at:
                await _change_often(cluster, 1)
            # Its earlier incarnation is still a member.
            sent = cluster.network.sent_bytes[leader.leader, silent.name]
            assert_that(sent, LessThan(3 * bounds.in_flight_bytes))

    run_virtual(scenario())


async def _wait_for_members(node: ReplicaNode, count: int) -> None:
    while len(node.status().members) < count:  # noqa: ASYNC110
        await asyncio.sleep(0.01)


def test_proposals_that_cannot_be_committed_are_bounded_in_size() -> None:
    """A leader without a quorum took in thousands of changes of any size."""

    async def scenario() -> None:
        bounds = LogBounds.for_resources(_DISK_MB, _MEMORY_MB)
        prepare = _keep_latest_document(bounds, _DISK_MB)
        async with running(3, prepare=prepare) as cluster:
            leader = await cluster.leader()
            names = [vm.name for vm in cluster.vms]
            cluster.network.isolate(leader.leader, names)
            answers = await asyncio.gather(
                *(
                    leader.propose(_document(number, 320 * _KB))
                    for number in range(100)
                )
            )
            kinds = [one.failure().kind for one in answers]
            taken = len(kinds) - kinds.count(FailureKind.overloaded)
            assert_that(taken, LessThan(bounds.pending_bytes // 320_000 + 1))
            assert_that(taken, GreaterThan(0))

    run_virtual(scenario())


@pytest.mark.parametrize('length', [1, 300_000, 3_000_000])
def test_documents_in_the_change_log_of_a_view_are_bounded_in_size(
    length: int,
) -> None:
    """Sixteen of any length were kept at each VM."""
    view = ViewState(4096)
    for version in range(1, 40):
        document = RoutingDocument(version=version, source=b'x' * length)
        change = ViewChange(index=version, previous=version - 1, revision=0)
        view.apply_change(msgspec.structs.replace(change, routes=document))
    kept = [
        since for since in range(39) if view.changes_since(since) is not None
    ]
    assert_that(len(kept), GreaterThan(0))
    assert_that((len(kept) - 1) * length, LessThan(2_200_000))
    assert_that(view.routes.version, Equals(39))
