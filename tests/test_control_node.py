"""Control replicas and entries on a simulated network with faults.

Guards against changes and claims that are lost, executed twice, or accepted
without a majority after lost messages, partitions and crashes.
"""

import asyncio
from pathlib import Path

import pytest
from returns.result import Failure as Failed
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan, Not

from bench.memory_system import MemorySystem
from bench.virtual_loop import run_in_virtual_time
from persimmonhold.control.machine import (
    ClaimKey,
    CommandResult,
    CommandStatus,
    EndClaim,
    ForgetVm,
)
from persimmonhold.failures import FailureKind
from persimmonhold.messages import CallOutcome, Demand

_OUTCOME = CallOutcome(status=200, media_type='text/plain', body=b'paid')


@pytest.fixture
def system() -> MemorySystem:
    return MemorySystem(9, 5, 1)


@pytest.fixture
def replicated(tmp_path: Path) -> MemorySystem:
    return MemorySystem(7, 5, 1, tmp_path)


def _claim(request: str) -> ClaimKey:
    return ClaimKey(
        at_ms=1,
        caller='kiln',
        service='lodgements',
        key='k',
        content_digest='d',
        request_id=request,
        vm='',
    )


async def _claim_at(system: MemorySystem, name: str) -> CommandResult | None:
    claimed = await system.vms[name].link.claim(_claim(f'at-{name}'))
    return claimed.value_or(None)


@pytest.mark.parametrize('loss', [0.0, 0.3])
def test_claim_raced_from_nine_entries_is_granted_once(
    system: MemorySystem,
    loss: float,
) -> None:
    async def scenario() -> None:
        async with system:
            system.network.loss = loss
            claims = [_claim_at(system, name) for name in system.names]
            results = await asyncio.gather(*claims)
            statuses = [result.status for result in results if result]
            assert_that(
                statuses.count(CommandStatus.claim_granted),
                Equals(1),
            )
            if not loss:
                assert_that(
                    statuses.count(CommandStatus.claim_held),
                    Equals(8),
                )

    run_in_virtual_time(scenario())


def test_resend_after_a_leader_change_gets_the_first_answer(
    system: MemorySystem,
) -> None:
    async def scenario() -> None:
        async with system:
            command = system.build_next_change()
            first = (await system.leader.commit_change(command)).unwrap()
            for _ in range(300):
                await system.commit_change()
            await system.kill('vm1')
            system.group.leader = 'vm2'
            again = (await system.leader.commit_change(command)).unwrap()
            assert_that(again, Equals(first))
            assert_that(system.leader.state.catalogue.revision, Equals(301))

    run_in_virtual_time(scenario())


def test_leader_lost_in_a_change_delays_it_less_than_six_seconds(
    system: MemorySystem,
) -> None:
    async def scenario() -> None:
        async with system:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            command = system.build_next_change()
            change = asyncio.create_task(system.leader.commit_change(command))
            await asyncio.sleep(0.0021)
            await system.kill('vm1')
            system.group.leader = 'vm2'
            again = (await system.leader.commit_change(command)).unwrap()
            await system.wait_for_index(again.index)
            assert_that(loop.time() - started_at, LessThan(6))
            assert_that(system.leader.state.catalogue.revision, Equals(1))
            change.cancel()

    run_in_virtual_time(scenario())


def test_dead_vm_leaves_and_its_claims_are_in_doubt(
    system: MemorySystem,
) -> None:
    async def scenario() -> None:
        async with system:
            granted = await _claim_at(system, 'vm9')
            assert granted is not None
            await system.kill('vm9')
            await asyncio.sleep(15)
            view = system.vms['vm8'].link.view
            assert_that(
                [vm.name for vm in view.vms],
                Not(Contains('vm9')),
            )
            doubtful = await _claim_at(system, 'vm8')
            assert doubtful is not None
            assert_that(doubtful.status, Equals(CommandStatus.claim_in_doubt))
            await system.restart('vm9')
            await asyncio.sleep(3)
            assert_that(system.serving_vms(), Equals(set(system.names)))

    run_in_virtual_time(scenario())


def test_restarted_entry_ends_no_claim_of_its_former_incarnation(
    system: MemorySystem,
) -> None:
    async def scenario() -> None:
        async with system:
            granted = await _claim_at(system, 'vm9')
            assert granted is not None
            await system.restart('vm9')
            await asyncio.sleep(3)
            again = await _claim_at(system, 'vm9')
            assert again is not None
            assert_that(again.status, Equals(CommandStatus.claim_in_doubt))

    run_in_virtual_time(scenario())


def test_entry_cut_from_the_leader_claims_through_a_follower(
    system: MemorySystem,
) -> None:
    async def scenario() -> None:
        async with system:
            system.network.partition({'vm1'}, {'vm9'})
            claimed = await _claim_at(system, 'vm9')
            assert claimed is not None
            assert_that(claimed.status, Equals(CommandStatus.claim_granted))
            end = EndClaim(
                at_ms=2,
                claim=claimed.claim,
                request_id='at-vm9',
                outcome=_OUTCOME,
            )
            (await system.vms['vm9'].link.end_claim(end)).unwrap()
            replayed = await _claim_at(system, 'vm2')
            assert replayed is not None
            assert_that(replayed.outcome, Equals(_OUTCOME))
            changed = await system.commit_change()
            await system.wait_for_index(changed.index)

    run_in_virtual_time(scenario())


def test_without_a_quorum_entries_serve_and_claims_fail(
    system: MemorySystem,
) -> None:
    async def scenario() -> None:
        async with system:
            command = system.build_next_change()
            for name in ('vm1', 'vm2', 'vm3'):
                await system.kill(name)
            await asyncio.sleep(60)
            assert_that(
                system.serving_vms(),
                Equals({'vm4', 'vm5', 'vm6', 'vm7', 'vm8', 'vm9'}),
            )
            claimed = await system.vms['vm9'].link.claim(_claim('late'))
            assert isinstance(claimed, Failed)
            assert_that(claimed.failure().kind, Equals(FailureKind.no_quorum))
            node = system.vms['vm4'].node
            assert node is not None
            assert isinstance(await node.commit_change(command), Failed)

    run_in_virtual_time(scenario())


def test_change_without_a_majority_of_vms_is_not_accepted(
    system: MemorySystem,
) -> None:
    async def scenario() -> None:
        async with system:
            others = {'vm5', 'vm6', 'vm7', 'vm8', 'vm9'}
            system.network.partition({'vm1', 'vm2', 'vm3', 'vm4'}, others)
            command = system.build_next_change()
            refused = await system.leader.commit_change(command)
            assert isinstance(refused, Failed)
            assert_that(refused.failure().step, Equals('await acceptance'))
            system.network.blocked_links.clear()
            answer = (await system.leader.commit_change(command)).unwrap()
            assert_that(answer.status, Equals(CommandStatus.done))
            assert_that(system.leader.state.catalogue.revision, Equals(1))

    run_in_virtual_time(scenario())


def test_operator_forgets_vms_when_most_are_lost(
    system: MemorySystem,
) -> None:
    async def scenario() -> None:
        async with system:
            lost = ('vm4', 'vm5', 'vm6', 'vm7', 'vm8', 'vm9')
            command = system.build_next_change()
            for name in lost:
                await system.kill(name)
            await asyncio.sleep(20)
            assert isinstance(
                await system.leader.commit_change(command), Failed
            )
            for name in lost:
                forget = ForgetVm(
                    operator='aoi',
                    command_id=name,
                    at_ms=1,
                    name=name,
                )
                await system.leader.commit_change(forget)
            answer = (await system.leader.commit_change(command)).unwrap()
            assert_that(answer.status, Equals(CommandStatus.done))
            assert_that(system.serving_vms(), Equals({'vm1', 'vm2', 'vm3'}))

    run_in_virtual_time(scenario())


def test_whole_system_restarts_from_its_disks(
    replicated: MemorySystem,
) -> None:
    async def scenario() -> None:
        async with replicated as system:
            command = system.build_next_change()
            first = (await system.leader.commit_change(command)).unwrap()
            for name in system.names:
                await system.kill(name)
            for name in system.names:
                await system.restart(name)
            await system.wait_for_leader()
            await asyncio.sleep(5)
            again = (await system.leader.commit_change(command)).unwrap()
            assert_that(again, Equals(first))
            assert_that(system.serving_vms(), Equals(set(system.names)))

    run_in_virtual_time(scenario())


def test_demand_and_views_of_all_entries_reach_the_leader(
    system: MemorySystem,
) -> None:
    async def scenario() -> None:
        async with system:
            for vm in system.vms.values():
                vm.link.report_demand((
                    Demand(
                        target='tutor',
                        requests_per_second=2,
                        prompt_tokens_per_second=10,
                        output_tokens_per_second=20,
                        waiting=1,
                    ),
                ))
            await asyncio.sleep(3)
            demand = system.leader.demand()[0]
            assert_that(demand.requests_per_second, Equals(18))
            assert_that(demand.waiting, Equals(9))
            system.network.partition({'vm9'}, set(system.names) - {'vm9'})
            changed = await system.commit_change()
            await asyncio.sleep(1)
            assert_that(
                system.leader.is_in_force(changed.index),
                Equals(False),
            )
            await asyncio.sleep(8)
            assert_that(
                system.leader.is_in_force(changed.index),
                Equals(True),
            )
            assert_that(system.serving_vms(), Not(Contains('vm9')))

    run_in_virtual_time(scenario())


def test_elected_leader_answers_resends_of_the_lost_one(
    replicated: MemorySystem,
) -> None:
    async def scenario() -> None:
        async with replicated as system:
            loop = asyncio.get_running_loop()
            command = system.build_next_change()
            first = (await system.leader.commit_change(command)).unwrap()
            for _ in range(50):
                await system.commit_change()
            for _ in range(2):
                lost = system.leader.log.status().vm
                started_at = loop.time()
                await system.kill(lost)
                successor = await system.wait_for_leader()
                again = (await successor.commit_change(command)).unwrap()
                assert_that(again, Equals(first))
                changed = await system.commit_change()
                await system.wait_for_index(changed.index)
                assert_that(loop.time() - started_at, LessThan(6))
                await system.restart(lost)
                await asyncio.sleep(5)
            assert_that(system.serving_vms(), Equals(set(system.names)))

    run_in_virtual_time(scenario())


def test_leader_cut_off_silently_neither_accepts_nor_serves(
    replicated: MemorySystem,
) -> None:
    async def scenario() -> None:
        async with replicated as system:
            lost = system.leader
            name = lost.log.status().vm
            command = system.build_next_change()
            system.network.partition({name}, set(system.names) - {name})
            assert isinstance(await lost.commit_change(command), Failed)
            await asyncio.sleep(60)
            assert_that(
                system.serving_vms(),
                Equals(set(system.names) - {name}),
            )
            answer = (await system.leader.commit_change(command)).unwrap()
            assert_that(answer.status, Equals(CommandStatus.done))
            system.network.blocked_links.clear()
            await asyncio.sleep(5)
            assert_that(system.serving_vms(), Equals(set(system.names)))
            assert_that(lost.state.catalogue.revision, Equals(1))

    run_in_virtual_time(scenario())
