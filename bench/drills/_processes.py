"""Starts and stops the local processes of a loopback deployment."""

import asyncio
import os
import shutil
import signal
import sys
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self, final

import msgspec
from returns.result import Failure as Failed

from bench.process_signals import send_signal
from persimmonhold.deployment import (
    SHAPES,
    DeploymentDocument,
    DeploymentPlan,
    DeploymentWriter,
)
from persimmonhold.web import ClientRequest, fetch, parse_address

_FIRST_PORT: Final = 24_000
_POLL_S: Final = 0.3
_STOP_TIMEOUT_S: Final = 60.0
_FETCH_TIMEOUT_S: Final = 3.0
_MAX_POLLS: Final = 400
_OK: Final = 200


@final
class DeploymentProcesses:
    """Owns the processes of a deployment and signals only those."""

    def __init__(self, deployment: str, vm_count: int, directory: Path) -> None:
        """Plan a deployment whose files are written to `directory`."""
        shape = next(one for one in SHAPES if one.name == deployment)
        self.plan = DeploymentPlan(shape, vm_count, _FIRST_PORT)
        self.directory = directory
        self.document = DeploymentDocument(
            deployment=deployment,
            vms=(),
            upstreams=(),
        )
        self._running: dict[str, asyncio.subprocess.Process] = {}
        self._output_path = directory / 'output.log'

    async def __aenter__(self) -> Self:
        """Write the files, start all processes and wait for all models."""
        self.document = DeploymentWriter(
            self.plan, self.directory
        ).write_files()
        for upstream in self.document.upstreams:
            await self.start(upstream.name)
        for vm in self.document.vms:
            await self.start(vm.name)
        try:
            await self._apply_catalogue()
            await self.wait_until_all_served()
        except BaseException:
            await self._kill_all()
            raise
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill every process."""
        await self._kill_all()

    @property
    def operators(self) -> tuple[str, ...]:
        """The operator addresses of all control VMs."""
        return tuple(vm.operators for vm in self.document.vms if vm.operators)

    async def start(self, name: str) -> None:
        """Start the VM or stand-in upstream `name`."""
        command = 'standin'
        settings = ''
        for vm in self.document.vms:
            if vm.name == name:
                command, settings = 'serve', vm.settings
        for upstream in self.document.upstreams:
            if upstream.name == name:
                settings = upstream.settings
        with self._output_path.open('ab') as output:
            self._running[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'persimmonhold',
                command,
                f'--settings={settings}',
                stdout=output,
                stderr=output,
            )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        send_signal(self._running[name], number)

    async def stop(self, name: str) -> int:
        """Stop a process by SIGTERM and return its exit code.

        It is killed if it has not exited after 60 s; the code is then -9.
        """
        process = self._running.pop(name)
        send_signal(process, signal.SIGTERM)
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                return await process.wait()
        except TimeoutError:
            send_signal(process, signal.SIGKILL)
            return await process.wait()

    async def kill(self, name: str) -> None:
        """Kill a process by SIGKILL."""
        process = self._running.pop(name)
        process.kill()
        await process.wait()

    def delete_data(self, name: str) -> None:
        """Delete the data directory of a VM that is not running."""
        shutil.rmtree(self.directory / f'data-{name}', ignore_errors=True)

    async def wait_for_leader(self) -> str:
        """Wait until a control VM leads; return its name."""
        return await self.wait_for_new_leader('')

    async def wait_for_new_leader(self, former: str) -> str:
        """Wait until a control VM other than `former` leads; return its name."""
        for _ in range(_MAX_POLLS):
            status = await self.read_status()
            leader = str(status.get('control', {}).get('leader', ''))
            if leader not in {former, ''}:
                return leader
            await asyncio.sleep(_POLL_S / 3)
        raise TimeoutError('no control VM became the leader in time')

    async def read_status(self) -> dict[str, Any]:
        """Return the status from the first control VM that answers."""
        for address in self.operators:
            document = await read_json(address, '/catalogue/v1/status')
            if document is not None:
                return document
        return {}

    async def wait_until_all_served(self) -> None:
        """Wait until every model and adapter has a serving copy."""
        wanted = self.plan.shape.model_count + self.plan.shape.adapter_count
        serving = 0
        for _ in range(_MAX_POLLS):
            status = await self.read_status()
            serving = len({
                copy['target']
                for copy in status.get('copies', ())
                if copy['state'] == 'serving'
            })
            if serving >= wanted:
                return
            await asyncio.sleep(_POLL_S)
        raise TimeoutError(
            f'only {serving} of {wanted} models have a serving copy'
        )

    async def read_resident_bytes(self) -> dict[str, int]:
        """Return the resident memory of each running VM process, in bytes."""
        page = os.sysconf('SC_PAGE_SIZE')
        return {
            name: int(_read_statm(process.pid).split()[1]) * page
            for name, process in self._running.items()
            if name.startswith('vm') and process.returncode is None
        }

    async def _apply_catalogue(self) -> None:
        for _ in range(_MAX_POLLS):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'persimmonhold',
                'catalogue',
                'apply',
                str(self.directory / 'catalogue.ini'),
                f'--operators={",".join(self.operators)}',
                stdout=asyncio.subprocess.DEVNULL,
            )
            if await process.wait() == 0:
                return
            await asyncio.sleep(_POLL_S)
        raise TimeoutError('the catalogue could not be applied in time')

    async def _kill_all(self) -> None:
        for process in self._running.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._running.values():
            await process.wait()
        self._running.clear()


def _read_statm(process_id: int) -> str:
    return Path(f'/proc/{process_id}/statm').read_text(encoding='ascii')


async def read_json(address: str, target: str) -> dict[str, Any] | None:
    """Return the document of a GET request; None unless its status is 200."""
    fetched = await fetch(
        parse_address(address).unwrap(),
        ClientRequest(method='GET', target=target),
        _FETCH_TIMEOUT_S,
    )
    if isinstance(fetched, Failed):
        return None
    response = fetched.unwrap()
    if response.head.status != _OK:
        return None
    document: dict[str, Any] = msgspec.json.decode(response.body)
    return document
