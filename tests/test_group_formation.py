"""Losses of all VMs while the control group still grows to its full size."""

import asyncio
import shutil
from itertools import combinations
from pathlib import Path
from typing import Final

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, HasLength

from bench.memory_system import MemorySystem, wait_until
from bench.virtual_loop import run_in_virtual_time
from persimmonhold.control.machine import PutEntry
from persimmonhold.control.shell import ControlNode
from tests._consensus_group import TIMINGS, Group

_SEEDS: Final = 3
_VOTERS: Final = 5
_FORMATION_S: Final = 10.0
_RECOVERY_S: Final = 20.0
_MAX_BARRIERS: Final = 1000


def _start(group: Group, *vms: str) -> None:
    for vm in vms:
        group.start(vm)
        group.nodes[vm].live.target_voters = _VOTERS


def _create_group(seed: int) -> Group:
    """Return a group of three seeds that is to grow to five voters."""
    timings = msgspec.structs.replace(
        TIMINGS, verification_timeout_s=0.5, replacement_timeout_s=1.5
    )
    group = Group(_SEEDS, _VOTERS - _SEEDS, timings, seed)
    for node in group.nodes.values():
        node.live.target_voters = _VOTERS
    return group


def _find_learner(group: Group) -> str:
    """Return the VM that all seeds know as a learner, or an empty string."""
    seeds = [group.nodes[vm] for vm in group.initial]
    known = [
        {one.vm for one in node.live.configuration.members if not one.is_voter}
        for node in seeds
    ]
    return next(iter(set.intersection(*known)), '')


@pytest.mark.parametrize('seed', range(10))
def test_learner_that_lost_its_disk_is_not_promoted_by_a_new_leader(
    seed: int,
) -> None:
    """The group could then elect no leader any more: four voters, two gone."""
    group = _create_group(seed)
    group.run(_FORMATION_S, lambda: bool(_find_learner(group)))
    learner = _find_learner(group)
    leader = group.leader
    assert leader is not None
    for vm in group.nodes:
        group.crash(vm)
    group.wipe(learner)
    group.wipe(leader.vm)
    _start(group, *group.nodes)
    group.run(
        _RECOVERY_S,
        lambda: (
            group.leader is not None
            and len(group.leader.live.configuration.voters) == _VOTERS
        ),
    )
    leader = group.leader
    assert leader is not None, group.describe()
    assert_that(leader.live.configuration.voters, HasLength(_VOTERS))


async def _commit_soon(system: MemorySystem) -> PutEntry:
    """Return the first change that the new group accepts."""
    await wait_until(lambda: system.has_leader)
    command = system.build_next_change()
    while True:
        if system.has_leader:
            committed = await system.leader.commit_change(command)
            if committed.value_or(None) is not None:
                return command
        await asyncio.sleep(0.01)


async def _wait_for_barrier(node: ControlNode) -> None:
    """Wait until a node has applied what was committed before."""
    for _ in range(_MAX_BARRIERS):
        if (await node.read_barrier()).value_or(None) is not None:
            return
        await asyncio.sleep(0.01)


@pytest.mark.parametrize('lost', tuple(combinations(range(1, _VOTERS + 1), 2)))
def test_change_accepted_by_a_new_group_survives_two_lost_disks(
    tmp_path: Path, lost: tuple[int, int]
) -> None:
    """A group of three that grows to five may not accept it before."""

    async def scenario() -> tuple[str, set[str]]:
        system = MemorySystem(_VOTERS, _VOTERS, 1, tmp_path, seed_count=_SEEDS)
        for name in system.names:
            await system.start(name)
        command = await _commit_soon(system)
        for name in system.names:
            await system.kill(name)
        for number in lost:
            shutil.rmtree(tmp_path / f'vm{number}')
        await asyncio.sleep(1)
        for name in system.names:
            system.network.down_vms.discard(name)
            await system.start(name)
        async with asyncio.timeout(_RECOVERY_S):
            leader = await system.wait_for_leader()
            await _wait_for_barrier(leader)
        names = set(leader.state.catalogue.entries)
        for name in system.names:
            await system.kill(name)
        return command.name, names

    name, names = run_in_virtual_time(scenario())
    assert_that(names, Contains(name))
