"""VMs built from settings, with consensus, over pynng on loopback."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from returns.result import Failure as Failed
from testtools.assertions import assert_that
from testtools.matchers import Equals

from persimmonhold.catalogue import ModelEntry
from persimmonhold.control.machine import (
    ClaimKey,
    CommandStatus,
    PutEntry,
)
from persimmonhold.control.shell import ControlNode
from persimmonhold.observability import metric
from persimmonhold.settings import (
    CallerSettings,
    OperatorSettings,
    PeerSettings,
    Settings,
    VmSettings,
)
from persimmonhold.system import VmProcess

_CONTROL = ('vm1', 'vm2', 'vm3')
_ENTRIES = ('vm4', 'vm5')
_TIMEOUT_S = 30
_POLL_INTERVAL_S = 0.02


def _free_address() -> str:
    with socket.socket() as bound:
        bound.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{bound.getsockname()[1]}'


@pytest.fixture
def settings(tmp_path: Path) -> dict[str, Settings]:
    addresses = {name: _free_address() for name in (*_CONTROL, *_ENTRIES)}
    control = ', '.join(f'{name}@{addresses[name]}' for name in _CONTROL)
    return {
        name: Settings(
            vm=VmSettings(
                name=name,
                failure_domain='a',
                roles='control' if name in _CONTROL else 'entry',
                data_directory=str(tmp_path / name),
            ),
            callers=CallerSettings(address='127.0.0.1:0'),
            operators=OperatorSettings(address='127.0.0.1:0'),
            peers=PeerSettings(address=address, control=control),
        )
        for name, address in addresses.items()
    }


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110 # Conditions over many VMs.
        await asyncio.sleep(_POLL_INTERVAL_S)


def _leader(vms: dict[str, VmProcess]) -> ControlNode | None:
    nodes = (vm.control.node for vm in vms.values() if vm.control)
    return next((node for node in nodes if node.is_leader), None)


def _make_put(number: int) -> PutEntry:
    entry = ModelEntry(
        name=f'm{number}',
        owner='levy',
        version='1',
        weight_bytes=1,
        kv_floor_bytes=1,
    )
    return PutEntry(
        operator='aoi',
        command_id=str(number),
        at_ms=1,
        expected_revision=0,
        entry=entry,
    )


async def _commit_change(
    vms: dict[str, VmProcess], number: int
) -> CommandStatus:
    """Commit a change on the present leader; retry until it answers."""
    while True:
        node = _leader(vms)
        if node is not None:
            changed = await node.commit_change(_make_put(number))
            if not isinstance(changed, Failed):
                return changed.unwrap().status
        await asyncio.sleep(_POLL_INTERVAL_S)


def test_vms_from_settings_work_after_loss_of_their_leader(
    settings: dict[str, Settings],
) -> None:
    async def scenario() -> None:
        vms: dict[str, VmProcess] = {}
        stacks: dict[str, AsyncExitStack] = {}
        for name, own in settings.items():
            stacks[name] = AsyncExitStack()
            vms[name] = await stacks[name].enter_async_context(
                VmProcess(own),
            )
        await _wait_until(
            lambda: all(vm.vm.can_serve for vm in vms.values()),
        )
        # The catalogue has no accelerator, so no model fits.
        status = await _commit_change(vms, 1)
        assert_that(status, Equals(CommandStatus.does_not_fit))
        leader = _leader(vms)
        assert leader is not None
        lost = leader.log.status().vm
        vms.pop(lost)
        await stacks.pop(lost).aclose()
        status = await _commit_change(vms, 2)
        assert_that(status, Equals(CommandStatus.does_not_fit))
        claim = ClaimKey(
            at_ms=1,
            caller='kiln',
            service='lodgements',
            key='k',
            content_digest='d',
            request_id='r',
            vm='',
        )
        link = vms['vm4'].link
        assert link is not None
        claimed = await link.claim_key(claim)
        assert_that(
            claimed.unwrap().status,
            Equals(CommandStatus.claim_granted),
        )
        counted = vms['vm4'].metrics.counter_value(
            metric.CONTROL_BYTES,
            direction='sent',
            channel='dissemination',
        )
        assert_that(counted > 0, Equals(True))
        for stack in stacks.values():
            await stack.aclose()

    async def bounded() -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            await scenario()

    asyncio.run(bounded())
