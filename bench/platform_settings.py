"""Settings files of VMs on loopback, in the platform's format."""

from pathlib import Path
from typing import final

import msgspec


@final
class PlatformSettings(msgspec.Struct, kw_only=True):
    """What the settings files of all VMs of one system share.

    VMs whose name begins with `c` run control and are seeds, others are
    entries. Their hosts are in `network`, the first two bytes of an address,
    and their ports follow `first_port`. `tolerated` control VMs may fail.
    VMs are spread over `domains`. `bounds` are further lines of the section of
    that name.
    `is_first_start` is True until the system has started for the first time.
    """

    directory: Path
    network: str
    first_port: int
    list_address: str = ''
    grace_s: float
    tolerated: int = 0
    bounds: str = ''
    domains: tuple[str, ...] = ('a',)
    is_first_start: bool = True

    def host(self, name: str) -> str:
        """Return the host of a VM."""
        group = 1 if name.startswith('c') else 2
        return f'{self.network}.{group}.{int(name[1:])}'

    def address(self, name: str, index: int) -> str:
        """Return an address of a VM.

        The index is 1 for callers, 2 for readiness, 3 for operators, 4 for
        the directory.
        """
        return f'{self.host(name)}:{self.first_port + index}'

    def write_file(self, name: str, seeds: tuple[str, ...]) -> Path:
        """Write the settings file of a VM and return its path."""
        path = self.directory / f'{name}.toml'
        path.write_text(self._format(name, seeds), encoding='utf-8')
        return path

    def _format(self, name: str, seeds: tuple[str, ...]) -> str:
        listen = ''.join(
            f'{use} = "{self.address(name, index)}"\n'
            for use, index in (('frontend', 1), ('ready', 2), ('directory', 4))
        )
        folder = ''
        if name.startswith('c'):
            listen = f'control = "{self.address(name, 3)}"\n'
            folder = f'data-dir = "{self.directory / name}"\n'
        addresses = ', '.join(f'"{self.address(seed, 3)}"' for seed in seeds)
        first_start = str(self.is_first_start).lower()
        ports = f'{self.first_port + 5}, {self.first_port + 6}'
        return (
            f'node-name = "{name}"\nip = "{self.host(name)}"\n'
            f'zone = "{self.domains[int(name[1:]) % len(self.domains)]}"\n'
            f'internal-ports = [{ports}]\nseeds = [{addresses}]\n'
            f'bootstrap = {first_start}\n{folder}'
            f'[listen]\n{listen}[cloud]\naddress = "{self.list_address}"\n'
            f'[fault-tolerance]\nmachines = {self.tolerated}\n'
            f'[bounds]\nlease-ms = 100\ngrace-s = {self.grace_s}\n'
            f'{self.bounds}'
        )
