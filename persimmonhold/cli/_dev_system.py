"""Control, an entry and stand-in upstreams in one event loop."""

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Final, Self, final

from returns.result import Failure as Failed

from persimmonhold.cli._sample_catalogue import (
    ENGINE_MEMORY_BYTES,
    sample_catalogue,
)
from persimmonhold.control.machine import PutEntry, RegisterVm
from persimmonhold.control.shell import (
    ControlNode,
    LocalControlLink,
    OperatorHandler,
    PlacementRunner,
)
from persimmonhold.entry import Entry
from persimmonhold.failures import StartError
from persimmonhold.messages import VmRecord
from persimmonhold.observability import Metrics
from persimmonhold.settings import (
    CallerSettings,
    PlatformSettings,
    StandinSection,
    VmSettings,
)
from persimmonhold.standin import Standin
from persimmonhold.web import Address, HttpBounds, HttpServer

_ENGINE_NAMES: Final = ('engine-1', 'engine-2')
_SERVICE_NAMES: Final = ('lodgements', 'status')
_EPHEMERAL_ADDRESS: Final = '127.0.0.1:0'


@final
class DevSystem:
    """The complete system of the dev command, for use as a context manager."""

    __slots__ = (
        '_directory',
        '_stack',
        '_tasks',
        'caller_address',
        'control_link',
        'node',
        'operator_address',
        'standins',
    )

    def __init__(
        self,
        directory: Path,
        caller_address: Address,
        operator_address: Address,
    ) -> None:
        """Create a system with its control state under `directory`.

        With port 0, an address gets its actual port on start.
        """
        self.caller_address = caller_address
        self.operator_address = operator_address
        self.node = ControlNode.create_single_replica(directory)
        self.control_link = LocalControlLink(self.node)
        self.standins: dict[str, Standin] = {}
        self._directory = directory
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        """Start all components; raises `OSError` if an address is in use."""
        async with AsyncExitStack() as stack:
            await self._start(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel the background tasks and stop all components."""
        for task in self._tasks:
            task.cancel()
        await self._stack.aclose()

    async def _start(self, stack: AsyncExitStack) -> None:
        stack.enter_context(self.node)
        recovered = self.node.recover()
        if isinstance(recovered, Failed):
            raise StartError(recovered.failure())
        await self._start_standins(stack)
        await self._apply_sample_catalogue()
        self.control_link.view = self.node.view()
        entry = Entry(
            VmSettings(name='dev', failure_domain='local'),
            CallerSettings(address=str(self.caller_address)),
            PlatformSettings(),
            self.control_link,
            Metrics(),
        )
        runner = PlacementRunner(self.node)
        operator_server = HttpServer(
            self.operator_address,
            OperatorHandler(self.node, explain=runner.explain),
            HttpBounds(),
        )
        self.caller_address = (await stack.enter_async_context(entry)).address
        self.operator_address = (
            await stack.enter_async_context(operator_server)
        ).address
        await self._register_vm()
        self._start_tasks(runner)

    def _start_tasks(self, runner: PlacementRunner) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self.control_link.run()),
            loop.create_task(runner.run()),
        ]

    async def _start_standins(self, stack: AsyncExitStack) -> None:
        for name in _ENGINE_NAMES:
            section = StandinSection(
                name=name,
                kind='engine',
                address=_EPHEMERAL_ADDRESS,
                memory_bytes=ENGINE_MEMORY_BYTES,
            )
            await self._start_standin(stack, section)
        for service in _SERVICE_NAMES:
            section = StandinSection(
                name=service,
                kind='service',
                address=_EPHEMERAL_ADDRESS,
            )
            await self._start_standin(stack, section)

    async def _start_standin(
        self,
        stack: AsyncExitStack,
        section: StandinSection,
    ) -> None:
        standin = Standin(section)
        await stack.enter_async_context(standin)
        self.standins[section.name] = standin

    async def _apply_sample_catalogue(self) -> None:
        engines = {
            name: str(self.standins[name].address) for name in _ENGINE_NAMES
        }
        services = {
            name: str(self.standins[name].address) for name in _SERVICE_NAMES
        }
        for entry in sample_catalogue(engines, services):
            catalogue = self.node.machine.state.catalogue
            if catalogue.find(entry.name) == entry:
                continue
            command = PutEntry(
                operator='dev',
                command_id=f'{catalogue.revision}-{entry.name}',
                at_ms=self.node.now_ms(),
                expected_revision=catalogue.entry_revision(entry.name),
                entry=entry,
                reason='sample catalogue',
            )
            await self.node.propose(command)

    async def _register_vm(self) -> None:
        vm = VmRecord(
            name='dev',
            failure_domain='local',
            callers=str(self.caller_address),
            operators=str(self.operator_address),
        )
        await self.node.propose(
            RegisterVm(at_ms=self.node.now_ms(), vm=vm),
        )
