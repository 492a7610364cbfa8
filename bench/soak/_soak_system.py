"""The VMs, upstreams and list of one soak."""

import asyncio
import itertools
import random
import signal
import socket
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from types import TracebackType
from typing import Final, Self, final

import msgspec

from bench.platform_list import PlatformList
from bench.platform_settings import PlatformSettings
from bench.soak._configuration import (
    ENGINE_SERVICE,
    SERVICES,
    build_configuration,
    name_models,
)
from bench.soak._eager_caller import EagerCaller
from bench.soak._engine import Engine, place_models
from bench.soak._fault import Fault, FaultKind
from bench.soak._plan import Plan
from bench.soak._record import Record
from bench.soak._soak_vm import SoakVm
from bench.soak._upstream import VERSIONS, Upstream
from persimmonhold.platform import _names as names
from persimmonhold.web import (
    Address,
    ClientRequest,
    HttpBounds,
    HttpServer,
    fetch,
    parse_address,
)

_NETWORKS: Final = range(100, 250)
# Outside the ports of the drills and the ephemeral ports.
_FIRST_PORTS: Final = range(25_000, 32_000, 10)
_METRICS_PORT: Final = 9464  # of all VMs of the platform
_FETCH_S: Final = 1.0
_PAUSE_S: Final = 0.1
_ROUNDS: Final = 100
_EARLY_CLOSE_S: Final = 0.4  # of idle connections, which upstreams do not state
# Callers around a signal, and around the steps of a stop in shares of the grace
# period.
_BURST_CALLERS: Final = 6
_BURST_S: Final = 0.06
_STEPS: Final = (0.0, 0.0, 0.125, 0.5, 0.84)
_OK: Final = 200


def _find_free_network() -> str:
    """Return the first two bytes of addresses that no other soak uses."""
    for number in random.sample(_NETWORKS, len(_NETWORKS)):
        network = f'127.{number}'
        with socket.socket() as probe, suppress(OSError):
            probe.bind((f'{network}.1.1', _METRICS_PORT))
            return network
    raise OSError('no free network')


@final
class SoakSystem:
    """Owns the processes and servers, and applies faults to them.

    Networks and ports are not derived from the seed; files are written to
    `directory`.
    """

    def __init__(self, plan: Plan, directory: Path) -> None:
        self.plan = plan
        self.record = Record()
        self.stack = AsyncExitStack()
        self.listing = PlatformList()
        self.server = HttpServer(
            Address('127.0.0.1', 0), self.listing, HttpBounds()
        )
        self.settings = PlatformSettings(
            directory=directory,
            network=_find_free_network(),
            first_port=random.choice(_FIRST_PORTS),
            grace_s=plan.grace_s,
            tolerated=len(plan.controls) // 2,
            domains=plan.shape.domains,
        )
        self.versions = itertools.count(1)
        self.upstreams: dict[str, Upstream] = {}
        self.vms: dict[str, SoakVm] = {}
        self.burst_count = 0

    async def __aenter__(self) -> Self:
        """Start everything and put the first configuration in force."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.server)
            self.settings.list_address = str(self.server.address)
            for number, name in enumerate(self.plan.upstreams):
                await self._start_upstream(name, number, stack)
            for vm in self.plan.controls + self.plan.entries:
                await self._start_vm(vm, stack)
            await self._change_configuration()
            self.settings.is_first_start = False
            for name in self.vms:
                self.settings.write_file(name, self.plan.seeds)
            self.stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill the processes and stop the servers."""
        await self.stack.aclose()

    async def apply(self, fault: Fault) -> None:
        """Apply a fault; returns when it is over and its VM has started."""
        if fault.kind is FaultKind.configure:
            changes = range(round(fault.amount))
            await asyncio.gather(
                *(self._change_configuration() for _ in changes)
            )
        elif fault.kind is FaultKind.kill_all:
            vms = self.vms.values()
            await asyncio.gather(*(vm.kill(fault.amount) for vm in vms))
        elif fault.target in self.upstreams:
            upstream = self.upstreams[fault.target]
            await upstream.suffer(fault.kind, fault.amount)
        else:
            await self._apply_to_vm(self.vms[fault.target], fault)

    async def _apply_to_vm(self, vm: SoakVm, fault: Fault) -> None:
        if self.plan.shape.is_varied and vm.name in self.plan.entries:
            self.burst_count += 1
            callers = [
                self._call_around_signal(vm.name, number)
                for number in range(_BURST_CALLERS)
            ]
            await asyncio.gather(*callers, self._signal(vm, fault))
        else:
            await self._signal(vm, fault)

    async def _call_around_signal(self, vm: str, number: int) -> None:
        """Send requests within milliseconds of a signal or step of a stop.

        Odd callers connect just then, the others before the signal.
        """
        address = self.settings.address(vm, 1)
        name = f'{self.plan.seed}-{vm}-burst-{self.burst_count}-{number}'
        caller = EagerCaller(name, {address: vm}, self.record, self.plan.shape)
        wait_s = caller.rng.choice(_STEPS) * self.plan.grace_s
        wait_s += caller.rng.uniform(0, _BURST_S)
        is_new = number % 2
        await asyncio.sleep(wait_s * is_new)
        await caller.use_connection(address, 2, wait_s * (not is_new))

    async def _signal(self, vm: SoakVm, fault: Fault) -> None:
        if self.plan.shape.is_varied:
            await asyncio.sleep(_BURST_S / 2)
        if fault.kind is FaultKind.stop:
            await vm.stop(fault.amount)
        elif fault.kind is FaultKind.kill:
            await vm.kill(fault.amount)
        elif fault.kind is FaultKind.freeze:
            await vm.freeze(fault.amount)
        else:
            if fault.kind is FaultKind.rewrite:
                seeds = tuple(reversed(self.plan.seeds))
                self.settings.write_file(vm.name, seeds)
            vm.send_signal(signal.SIGHUP)

    async def _change_configuration(self) -> None:
        """Send a new version to each control VM in turn until one accepts."""
        document = build_configuration(next(self.versions), self.plan.shape)
        request = ClientRequest(
            method='PUT',
            target=names.CONFIGURATION_PATH,
            body=msgspec.json.encode(document),
        )
        for vm in self.plan.controls * _ROUNDS:
            peer = parse_address(self.settings.address(vm, 3)).unwrap()
            fetched = await fetch(peer, request, _FETCH_S)
            response = fetched.value_or(None)
            if response is not None and response.head.status == _OK:
                return
            await asyncio.sleep(_PAUSE_S)
        self.record.failures.append('configuration not accepted')

    async def _start_upstream(
        self, name: str, number: int, stack: AsyncExitStack
    ) -> None:
        service = SERVICES[number % len(SERVICES)]
        version = ''
        if self.plan.has_releases:
            version = VERSIONS[number // len(SERVICES) % len(VERSIONS)]
        shape = self.plan.shape
        upstream = Upstream(
            name, service, self.record, self.listing.entries, version
        )
        if number >= shape.upstream_count:
            placed = place_models(
                name_models(shape.model_count),
                shape.engine_count,
                self.plan.seed,
            )
            upstream = Engine(
                name,
                ENGINE_SERVICE,
                self.record,
                self.listing.entries,
                placed[number - shape.upstream_count],
                version,
            )
            upstream.slots = shape.engine_slots
        if shape.is_varied and number % 3 == 0:
            upstream.bounds = HttpBounds(idle_timeout_s=_EARLY_CLOSE_S)
        upstream.domain = shape.domains[number % len(shape.domains)]
        self.upstreams[name] = upstream
        await upstream.start()
        stack.push_async_callback(upstream.close)

    async def _start_vm(self, name: str, stack: AsyncExitStack) -> None:
        path = self.settings.write_file(name, self.plan.seeds)
        vm = SoakVm(name, path, self.plan.grace_s, self.record)
        self.vms[name] = vm
        stack.push_async_callback(vm.close)
        await vm.start()
