"""Reads the platform's settings file into the settings of this system."""

import ipaddress
from pathlib import Path
from typing import Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.forwarding import FleetBounds
from persimmonhold.observability import STANDARD_OUTPUT
from persimmonhold.platform._vm_limits import VmLimits
from persimmonhold.platform._wire_bounds import (
    WireBounds,
    build_fleet_bounds,
    choose_leader_proof_ms,
)
from persimmonhold.settings import (
    CallerSettings,
    LogSettings,
    MetricsSettings,
    OperatorSettings,
    PeerSettings,
    Settings,
    VmSettings,
)
from persimmonhold.web import Address, parse_address

_REPLACEMENT_MS: Final = 1500  # the platform replaces a lost VM within seconds
_VERIFICATION_MS: Final = 500  # disks are complete or empty here, never stale
_HEARTBEAT_MS: Final = 80
_ELECTION_TIMEOUT_MS: Final = 450  # a retransmitted packet takes 200 ms
# Entries have no disk and any number may be lost. The platform excuses a VM that
# stands still or is cut off; those that are reachable report within 0.5 s.
_ACCEPTANCE_SILENCE_MS: Final = 2000
_METRICS_PORT: Final = 9464  # the port in deploy/system.toml


@final
class _Listen(msgspec.Struct, frozen=True, rename='kebab'):
    """Listen addresses; `frontend` is for callers, `control` for operators."""

    frontend: str = ''
    ready: str = ''
    control: str = ''
    directory: str = ''


@final
class _Tolerance(msgspec.Struct, frozen=True, rename='kebab'):
    """Tolerated failures: `machines` control VMs may fail at the same time."""

    machines: int = 0


@final
class _Cloud(msgspec.Struct, frozen=True, rename='kebab'):
    """Access to the platform, which lists the upstreams at `address`."""

    address: str = ''


@final
class _File(msgspec.Struct, frozen=True, rename='kebab'):
    """The settings file of one VM.

    `bootstrap` is true only at the first start of the whole system.
    """

    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...]
    listen: _Listen
    cloud: _Cloud
    bootstrap: bool = False
    data_dir: str = ''
    fault_tolerance: _Tolerance = _Tolerance()
    bounds: WireBounds = WireBounds()
    limits: VmLimits = VmLimits()


@final
class PlatformSettingsFile(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of this system and addresses that the platform uses.

    `list_address` is where the platform lists the upstreams. Readiness checks
    are served at `ready_address` and directory look-ups at
    `directory_address`, unless the address is empty.
    """

    settings: Settings
    bounds: FleetBounds
    list_address: Address
    ready_address: str
    directory_address: str


def read_settings_file(path: Path) -> Result[PlatformSettingsFile, Failure]:
    """Return the settings in a file, or why it cannot be read or decoded."""
    try:
        wire = msgspec.toml.decode(path.read_bytes(), type=_File)
    except (OSError, msgspec.DecodeError) as error:
        return Failed(_settings_failure(path, str(error)))
    list_address = parse_address(wire.cloud.address)
    if isinstance(list_address, Failed):
        return Failed(_settings_failure(path, list_address.failure().detail))
    return Success(
        PlatformSettingsFile(
            settings=_build_settings(wire),
            bounds=build_fleet_bounds(wire.bounds),
            list_address=list_address.unwrap(),
            ready_address=wire.listen.ready,
            directory_address=wire.listen.directory,
        ),
    )


def _build_settings(wire: _File) -> Settings:
    """Build the settings; each address for callers or operators adds a role."""
    roles = [
        role
        for role, address in (
            ('entry', wire.listen.frontend),
            ('control', wire.listen.control),
        )
        if address
    ]
    return Settings(
        vm=VmSettings(
            name=_derive_vm_name(wire.ip),
            failure_domain=wire.zone,
            roles=','.join(roles),
            data_directory=wire.data_dir,
            memory_mb=wire.limits.memory,
            disk_mb=wire.limits.disk,
            max_descriptors=wire.limits.descriptors,
        ),
        callers=CallerSettings(
            address=wire.listen.frontend, weight=wire.limits.weight
        ),
        operators=OperatorSettings(address=wire.listen.control),
        peers=_build_peer_settings(wire),
        logs=LogSettings(path=STANDARD_OUTPUT),
        metrics=MetricsSettings(address=f'{wire.ip}:{_METRICS_PORT}'),
    )


def _build_peer_settings(wire: _File) -> PeerSettings:
    """Derive names and ports of the control VMs from the seeds."""
    port = wire.internal_ports[0]
    hosts = [seed.rpartition(':')[0] for seed in wire.seeds]
    return PeerSettings(
        address=f'{wire.ip}:{port}',
        control=', '.join(
            f'{_derive_vm_name(host)}@{host}:{port}' for host in hosts
        ),
        voters=2 * wire.fault_tolerance.machines + 1,
        first_start=wire.bootstrap,
        replacement_ms=_REPLACEMENT_MS,
        verification_ms=_VERIFICATION_MS,
        heartbeat_ms=_HEARTBEAT_MS,
        election_timeout_ms=_ELECTION_TIMEOUT_MS,
        acceptance_silence_ms=_ACCEPTANCE_SILENCE_MS,
        leader_proof_ms=choose_leader_proof_ms(wire.bounds),
        plain_outside_loopback=True,
    )


def _derive_vm_name(host: str) -> str:
    """Derive the name of a VM from its IP address; a seed states no name."""
    number = int(ipaddress.ip_address(host))
    return f'vm-{number:x}'


def _settings_failure(path: Path, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.bad_settings,
        step='read settings',
        peer=str(path),
        detail=detail,
    )
