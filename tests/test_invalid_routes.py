"""Invalid routing documents get the same verdict whatever their version.

Guards against an invalid configuration that is acknowledged once a higher
version is in force (review/10).
"""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import MappingProxyType

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from bench.memory_system import MemorySystem
from bench.virtual_loop import run_in_virtual_time
from persimmonhold.control.machine import CommandStatus, PutRoutes
from persimmonhold.routes import (
    ForwardRoute,
    RouteKind,
    RouteTarget,
    RoutingDocument,
    ServiceSpec,
    Workspace,
    hash_key,
)
from tests.fleet_builders import ENGINE

Scenario = Callable[[MemorySystem], Awaitable[None]]
_STORED = 7
_TARGET = RouteTarget('app', 1)
_APP = ServiceSpec(name='app', health_path='/healthz', max_connections=9)


def _create_route(
    name: str = 'a',
    target: RouteTarget = _TARGET,
    timeout_ms: float = 3000,
    prefix: str = '/a/',
) -> ForwardRoute:
    return ForwardRoute(
        name=name,
        host='h.example',
        path_prefix=prefix,
        kind=RouteKind.idempotent,
        timeout_ms=timeout_ms,
        targets=(target,),
    )


def _create_document(
    *routes: ForwardRoute, version: int = _STORED
) -> RoutingDocument:
    return RoutingDocument(
        version=version, routes=routes or (_create_route(),), services=(_APP,)
    )


_KEYS = (hash_key('k'),)
_WORKSPACES = (
    Workspace(name='w1', key_hashes=_KEYS),
    Workspace(name='w2', key_hashes=_KEYS),
)
_BAD_ENGINE = ServiceSpec(
    name='app',
    health_path='/healthz',
    max_connections=9,
    engine=msgspec.structs.replace(ENGINE, slots=0),
)
_INVALID = MappingProxyType({
    'unknown service': _create_document(
        _create_route('a', RouteTarget('nobody', 1))
    ),
    'same place': _create_document(_create_route('a'), _create_route('b')),
    'no weight': _create_document(_create_route('a', RouteTarget('app', 0))),
    'no timeout': _create_document(_create_route('a', timeout_ms=0)),
    'odd prefix': _create_document(_create_route('a', prefix='/a')),
    'same service twice': msgspec.structs.replace(
        _create_document(), services=(_APP, _APP)
    ),
    'key of two workspaces': msgspec.structs.replace(
        _create_document(), workspaces=_WORKSPACES
    ),
    'engine without slots': msgspec.structs.replace(
        _create_document(), services=(_BAD_ENGINE,)
    ),
})


async def _calm(system: MemorySystem) -> None:
    """Disturb nothing."""


async def _restart_all(system: MemorySystem) -> None:
    for name in system.control_names:
        await system.kill(name)
    for name in system.control_names:
        await system.restart(name)
    await system.wait_for_leader()


async def _lose_leader(system: MemorySystem) -> None:
    leader = next(
        name
        for name in system.control_names
        if system.vms[name].node is system.leader
    )
    await system.kill(leader)
    await system.wait_for_leader()


def _run(directory: Path, scenario: Scenario) -> None:
    async def run_scenario() -> None:
        async with MemorySystem(4, 3, 1, directory) as system:
            await system.wait_for_leader()
            await scenario(system)

    run_in_virtual_time(run_scenario())


async def _put(system: MemorySystem, document: RoutingDocument) -> str:
    """Put a document at the leader, as often as it gets no clear answer."""
    for _ in range(20):
        put = await system.leader.put_routes(document)
        status = put.map(lambda one: one.status).value_or(None)
        if status is not None:
            return status.value
        await asyncio.sleep(0.3)
    raise AssertionError('no clear answer')


@pytest.mark.parametrize('disturb', [_calm, _restart_all, _lose_leader])
@pytest.mark.parametrize('kind', sorted(_INVALID))
def test_invalid_document_is_refused_whatever_its_version(
    tmp_path: Path,
    kind: str,
    disturb: Callable[[MemorySystem], Awaitable[None]],
) -> None:
    async def scenario(system: MemorySystem) -> None:
        invalid = _INVALID[kind]
        assert_that(await _put(system, invalid), Equals('bad_entry'))
        valid = _create_document()
        assert_that(await _put(system, valid), Equals('done'))
        await disturb(system)
        for version in (-1, 0, 1, _STORED, _STORED + 1):
            document = msgspec.structs.replace(invalid, version=version)
            assert_that(await _put(system, document), Equals('bad_entry'))
        assert_that(system.leader.state.view.routes, Equals(valid))

    _run(tmp_path, scenario)


@pytest.mark.parametrize('disturb', [_calm, _restart_all, _lose_leader])
def test_valid_document_is_acknowledged_once_it_is_overtaken(
    tmp_path: Path, disturb: Callable[[MemorySystem], Awaitable[None]]
) -> None:
    async def scenario(system: MemorySystem) -> None:
        stored = _create_document()
        assert_that(await _put(system, stored), Equals('done'))
        await disturb(system)
        for version in (1, _STORED - 1, _STORED):
            route = _create_route(f'r{version}')
            older = _create_document(route, version=version)
            assert_that(await _put(system, older), Equals('done'))
        assert_that(system.leader.state.view.routes, Equals(stored))

    _run(tmp_path, scenario)


def test_document_that_an_earlier_build_accepted_is_acknowledged_again(
    tmp_path: Path,
) -> None:
    """A change that was acknowledged must not be refused when it is resent."""

    async def scenario(system: MemorySystem) -> None:
        accepted = _INVALID['engine without slots']
        command = PutRoutes(at_ms=1, document=accepted)
        put = await system.leader.commit_change(command)
        assert_that(put.unwrap().status, Equals(CommandStatus.done))
        again = msgspec.structs.replace(accepted, source=b'another encoding')
        assert_that(await _put(system, again), Equals('done'))
        newer = msgspec.structs.replace(accepted, version=_STORED + 1)
        assert_that(await _put(system, newer), Equals('bad_entry'))

    _run(tmp_path, scenario)
