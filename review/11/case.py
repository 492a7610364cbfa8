"""Hundreds of changes of a long configuration, then the core is killed once.

The core's disks and the memory of its machines have the size of the sheet of
the deployment. With TROUBLE=0 the configuration stays short.
"""

import asyncio
import time
from pathlib import Path
from typing import Any, Final

from bed.deployment import Deployment
from bed.platform import InstanceList, Operator
from bed.record import BROKEN, HELD, NOT_RUN, Record

_CHANGES: Final = 390  # "hundreds of changes" of a day
_MORE_ROUTES: Final = 1400  # `big_config`, count = 1400
_FIRST_ROUTES: Final = 5
_ACK_S: Final = 4.0  # `ack-ms`
_START_S: Final = 12.0  # before traffic
_ALL_CHANGES_S: Final = 60.0
_RECOVERY_S: Final = 12.0  # `recovery-s`
_BACK_S: Final = 1.0  # all processes are back within a second
_CORE_MEMORY_MB: Final = 296
_ENDS: Final = 3  # of a process by itself, on half of the core


def build_configuration(version: int, more_routes: int) -> dict[str, Any]:
    """Return a configuration whose first route differs by version."""
    routes = [
        {
            'name': f'r-{number:07x}',
            'host': 'ficu95.example',
            'path-prefix': f'/p{number:06x}/',
            'kind': 'idempotent',
            'timeout-ms': 1500 + (version % 100) * (number == 0),
            'target-latency-ms': 300,
            'priority': 2,
            'service': 'wuno96b',
            'max-attempts': 2,
            'sticky': False,
            'resumable': False,
        }
        for number in range(_FIRST_ROUTES + more_routes)
    ]
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'wuno96b',
                'health-path': '/healthz',
                'max-conns': 110,
                'protocol': 'h1',
                'tls': False,
            }
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
    }


async def run(record: Record) -> tuple[int, str]:
    """Play the case; return the exit code and the reason."""
    async with InstanceList() as instances:
        with Deployment(
            instances.address, record.note, core_memory_mb=_CORE_MEMORY_MB
        ) as deployment:
            operator = Operator(deployment, record.note)
            return await play(record, deployment, operator)


async def play(
    record: Record, deployment: Deployment, operator: Operator
) -> tuple[int, str]:
    """Send the changes, kill the core, and read the configuration back."""
    if not await operator.put(build_configuration(1, 0), _START_S):
        return NOT_RUN, 'the first configuration was not acknowledged'
    more_routes = _MORE_ROUTES if record.has_trouble else 0
    ends_at = time.monotonic() + _ALL_CHANGES_S
    for version in range(2, 2 + _CHANGES):
        if time.monotonic() >= ends_at:
            return NOT_RUN, f'only {version - 2} changes in time'
        document = build_configuration(version, more_routes)
        if not await operator.put(document, 2 * _ACK_S):
            record.note(f'version {version} was not acknowledged')
            note_machines(record, deployment)
            return NOT_RUN, f'no acknowledgement of version {version}'
        if version % 50 == 0:
            note_machines(record, deployment)
    record.note(f'acknowledged up to version {operator.acknowledged}')
    note_machines(record, deployment)
    for machine in deployment.core:
        deployment.kill(machine)
    await asyncio.sleep(_BACK_S + _RECOVERY_S)
    held = await operator.get(2 * _ACK_S)
    note_machines(record, deployment)
    version = held['version'] if held else None
    record.note(
        f'read back: version {version}, acknowledged was version'
        f' {operator.acknowledged}'
    )
    looping = [
        machine.name
        for machine in deployment.core
        if len(machine.exits) >= _ENDS
    ]
    if 2 * len(looping) >= len(deployment.core):
        return BROKEN, (
            f'processes ended by themselves {_ENDS} times or more on {looping};'
            f' read back: version {version}'
        )
    return HELD, f'version {version} was read back'


def note_machines(record: Record, deployment: Deployment) -> None:
    """Write what the machines of the core use, and how processes ended."""
    for machine in deployment.core:
        record.note(
            f'{machine.name}: memory at its peak {machine.peak_mb:.0f} MB of'
            f' {machine.memory_mb}, disk {deployment.disk_mb(machine):.0f} MB'
            f' of 128, ended by itself: {machine.exits}'
        )


def main() -> None:
    """Run the case."""
    record = Record(Path(__file__).parent)
    code, reason = asyncio.run(run(record))
    record.end(code, reason)


if __name__ == '__main__':
    main()
