"""A small deployment on loopback, run as the platform runs it.

The processes are the project's own programs, started by the commands of
`deploy/system.toml`. The platform of this file writes their settings, restarts
processes that end, and ends those that use more memory than their machine has.
"""

import math
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Final, Self

ROOT: Final = Path(__file__).resolve().parents[3]
_METRICS_PORT: Final = 9464  # of every machine, as in the deploy file
_RESTART_S: Final = 0.5  # after a process has ended
# A process that ends within this time of a signal has not ended by itself.
_EXCUSED_S: Final = 1.0
_WATCH_S: Final = 0.02  # between looks at the processes
_END_S: Final = 2.0  # for the last processes to be gone
_BYTES_PER_MB: Final = 1_000_000
_KEPT_VARIABLES: Final = ('PATH', 'HOME', 'LANG')


@dataclass(slots=True)
class Machine:
    """One machine: its address, its class, and the process that it runs."""

    name: str
    ip: str
    is_core: bool
    memory_mb: int
    process: subprocess.Popen[bytes] | None = None
    is_wanted: bool = False
    ended_at: float = 0.0
    disrupted_at: float = -math.inf
    peak_mb: float = 0.0
    exits: list[str] = field(default_factory=list)

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None


class Deployment:
    """Owns the processes of a deployment, and its temporary folder."""

    def __init__(
        self,
        list_address: str,
        note: Callable[[str], None],
        *,
        core_count: int = 3,
        edge_count: int = 2,
        core_memory_mb: int = 296,
        edge_memory_mb: int = 300,
        bounds: str = '',
    ) -> None:
        self.list_address = list_address
        self.note = note
        self.bounds = bounds
        self.network = _find_free_network()
        self.port = random.choice(range(21_000, 24_000, 10))
        self.is_first_start = True
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.machines = {
            name: Machine(name, ip, is_core, memory_mb)
            for name, ip, is_core, memory_mb in (
                *(
                    (f'core-{n}', f'{self.network}.1.{n}', True, core_memory_mb)
                    for n in range(1, core_count + 1)
                ),
                *(
                    (f'edge-{n}', f'{self.network}.2.{n}', False, edge_memory_mb)
                    for n in range(1, edge_count + 1)
                ),
            )
        }
        self.is_over = threading.Event()
        self.watcher = threading.Thread(target=self._watch, daemon=True)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.commands = {
            role['on']: role['run'].split() for role in deploy['roles'].values()
        }

    def __enter__(self) -> Self:
        for machine in self.machines.values():
            self.start(machine)
        self.is_first_start = False
        self.watcher.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.is_over.set()
        self.watcher.join()
        for machine in self.machines.values():
            machine.is_wanted = False
            if machine.is_running:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines.values():
            if machine.process is not None:
                machine.process.wait(_END_S)
        shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def core(self) -> list[Machine]:
        """The machines of the core."""
        return [one for one in self.machines.values() if one.is_core]

    @property
    def edge(self) -> list[Machine]:
        """The machines that clients reach."""
        return [one for one in self.machines.values() if not one.is_core]

    def frontend(self, machine: Machine) -> tuple[str, int]:
        """Where clients reach a machine."""
        return machine.ip, self.port + 1

    def ready(self, machine: Machine) -> tuple[str, int]:
        """Where the platform asks a machine whether it is ready."""
        return machine.ip, self.port + 2

    def control(self, machine: Machine) -> tuple[str, int]:
        """Where the operator reaches a machine of the core."""
        return machine.ip, self.port + 3

    def data_folder(self, machine: Machine) -> Path:
        """The disk of a machine of the core."""
        return self.folder / machine.name

    def disk_mb(self, machine: Machine) -> float:
        """How much of its disk a machine of the core uses."""
        size = 0
        for path in self.data_folder(machine).glob('*'):
            try:
                size += path.stat().st_size
            except FileNotFoundError:
                continue
        return size / _BYTES_PER_MB

    def start(self, machine: Machine) -> None:
        """Start the process of a machine with its current settings."""
        settings = self.folder / f'{machine.name}.toml'
        settings.write_text(self._format_settings(machine))
        command = self.commands['core' if machine.is_core else 'edge']
        log = self.folder / f'{machine.name}.log'
        with log.open('ab') as output:
            machine.process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env={
                    **{
                        name: os.environ[name]
                        for name in _KEPT_VARIABLES
                        if name in os.environ
                    },
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PERSIMMONHOLD_CONFIG': str(settings),
                },
            )
        machine.is_wanted = True

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        self.note(f'{number.name} to {machine.name}')
        machine.disrupted_at = time.monotonic()
        if machine.is_running:
            machine.process.send_signal(number)

    def kill(self, machine: Machine) -> None:
        """Kill the process of a machine; the platform starts it again."""
        self.signal(machine, signal.SIGKILL)

    def log_text(self, machine: Machine) -> str:
        """What the process of a machine has written."""
        return (self.folder / f'{machine.name}.log').read_text(errors='replace')

    def _watch(self) -> None:
        """End processes that use too much memory; restart those that ended."""
        while not self.is_over.wait(_WATCH_S):
            for machine in self.machines.values():
                if machine.is_running:
                    self._check_memory(machine)
                elif machine.is_wanted:
                    self._restart(machine)

    def _check_memory(self, machine: Machine) -> None:
        used_mb = _read_peak_mb(machine.process.pid)
        machine.peak_mb = max(machine.peak_mb, used_mb)
        if used_mb > machine.memory_mb:
            reason = f'{used_mb:.0f} MB used of {machine.memory_mb}'
            if time.monotonic() > machine.disrupted_at + _EXCUSED_S:
                machine.exits.append(reason)
            self.note(f'{machine.name} is ended: {reason}')
            machine.process.kill()
            machine.process.wait()

    def _restart(self, machine: Machine) -> None:
        now = time.monotonic()
        if not machine.ended_at:
            machine.ended_at = now
            code = machine.process.returncode
            self.note(f'{machine.name} has ended with {code}')
            if code != -signal.SIGKILL:
                machine.exits.append(f'ended with {code}')
        elif now >= machine.ended_at + _RESTART_S:
            machine.ended_at = 0.0
            self.start(machine)
            self.note(f'{machine.name} starts again')

    def _format_settings(self, machine: Machine) -> str:
        seeds = ', '.join(f'"{one.ip}:{self.port + 3}"' for one in self.core)
        listen = (
            f'frontend = "{machine.ip}:{self.port + 1}"\n'
            f'ready = "{machine.ip}:{self.port + 2}"\n'
            f'directory = "{machine.ip}:{self.port + 4}"\n'
        )
        folder = ''
        if machine.is_core:
            listen = f'control = "{machine.ip}:{self.port + 3}"\n'
            folder = f'data-dir = "{self.data_folder(machine)}"\n'
        kind = 'core' if machine.is_core else 'edge'
        return (
            f'node-name = "{machine.name}"\n'
            f'role = "{"control" if machine.is_core else "entry"}"\n'
            f'machine-class = "{kind}"\n'
            f'ip = "{machine.ip}"\nzone = "nl-west-a"\nregion = "nl-west"\n'
            f'internal-ports = [{self.port + 5}, {self.port + 8}]\n'
            f'seeds = [{seeds}]\n'
            f'bootstrap = {str(self.is_first_start).lower()}\n'
            f'fault-counted = {str(machine.is_core).lower()}\n'
            'discovery = "provider"\nentry = "registry"\n'
            f'heartbeat-ms = 1200\nconfig-mode = "highest"\n{folder}'
            '[zones]\nnl-west-a = "nl-west"\n'
            f'[listen]\n{listen}'
            '[limits]\ncpu-share = 0.86\ncores = 3\n'
            f'memory-mb = {machine.memory_mb}\nmax-fds = 4100\n'
            f'link-mbps = 1000.0\ndisk-mb = {128 if machine.is_core else 0}\n'
            '[fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n'
            '[bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\ncontact-ms = 3000\n'
            'ack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 8\n'
            'loss-slack-ms = 200\nconfig-apply-ms = 2000\n'
            'rollback-slack-ms = 250\nmax-skew-ms = 5000\n'
            'retry-budget-ratio = 0.2\nretry-window-s = 10\nretry-slack = 54\n'
            'recovery-s = 12\niteration-ms = 120\nretry-after-s = 0\n'
            'fencing-enforced = false\nlease-ms = 3000\nthaw-ms = 300\n'
            'ceiling-window-s = 5\nload-burst-factor = 1.1\nttl_max_s = 5\n'
            f'{self.bounds}'
            f'[cloud]\naddress = "{self.list_address}"\nrate-per-s = 42.0\n'
            'duties = []\nmax-lag-ms = 800\n'
        )


def _find_free_network() -> str:
    """Return the first two bytes of loopback addresses that nobody uses."""
    for number in random.sample(range(100, 250), 150):
        network = f'127.{number}'
        with socket.socket() as probe:
            try:
                probe.bind((f'{network}.1.1', _METRICS_PORT))
            except OSError:
                continue
            return network
    raise OSError('no free network')


def _read_peak_mb(pid: int) -> float:
    """Return the most memory that a process has used so far, in MB."""
    try:
        lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    except OSError:
        return 0.0
    for line in lines:
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * 1024 / _BYTES_PER_MB
    return 0.0
