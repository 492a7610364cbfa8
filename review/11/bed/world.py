"""A running deployment with workers of two services, for a script."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

from bed.deployment import Deployment
from bed.http import encode, fetch
from bed.platform import InstanceList, Operator
from bed.worker import Worker

HOST: Final = 'ficu95.example'
PLAIN: Final = 'wuno96b'
ENGINE: Final = 'huvo11a'
MODELS: Final = tuple(f'daka51000{number}' for number in range(3))
_START_S: Final = 12.0  # traffic starts so long after the machines
_LOOK_S: Final = 0.1
_LOOK_TIMEOUT_S: Final = 1.0
_SLOTS: Final = 24


class NotStartedError(Exception):
    """The deployment did not start in time."""


class World:
    """What a script works with."""

    def __init__(
        self,
        instances: InstanceList,
        workers: list[Worker],
        deployment: Deployment,
        operator: Operator,
    ) -> None:
        self.instances = instances
        self.workers = workers
        self.deployment = deployment
        self.operator = operator


def build_route(
    name: str, kind: str, service: str, **others: Any
) -> dict[str, Any]:
    """Return a route like those of the sheet."""
    return {
        'name': f'r-{name}',
        'host': HOST,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 1500,
        'target-latency-ms': 300,
        'priority': 1,
        'service': service,
        'max-attempts': 1,
        'sticky': False,
        'resumable': False,
        **others,
    }


def build_configuration(version: int, **others: Any) -> dict[str, Any]:
    """Return a configuration like that of the sheet."""
    stream = {'timeout-ms': 12_000, 'target-itl-ms': 250, 'sticky': True}
    return {
        'version': version,
        'routes': [
            build_route('issue', 'non_idempotent', PLAIN),
            build_route('lookup', 'idempotent', PLAIN, **{'max-attempts': 2}),
            build_route('chat', 'streaming', ENGINE, **stream),
            build_route(
                'review',
                'streaming',
                ENGINE,
                **stream,
                **{'max-attempts': 2, 'resumable': True},
            ),
        ],
        'services': [
            {
                'name': PLAIN,
                'health-path': '/healthz',
                'max-conns': 100,
                'protocol': 'h1',
                'tls': False,
            },
            {
                'name': ENGINE,
                'health-path': '/healthz',
                'max-conns': 200,
                'protocol': 'h1',
                'tls': False,
                'engine': {
                    'slots': _SLOTS,
                    'kv-capacity': 113_394,
                    'stride': 6,
                    'models': [
                        {
                            'name': name,
                            'weights-mb': 65_100.0,
                            'load-s': 1.2,
                            'adapters': 56,
                            'adapter-mb': 12.0,
                        }
                        for name in MODELS
                    ],
                    'weights-mb': 200_000.0,
                    'adapter-slots': 8,
                    'loads-per-s': 2.9,
                },
            },
        ],
        'limits': {
            'max-header-bytes': 16_384,
            'max-body-bytes': 4_194_304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15_000,
        },
        **others,
    }


@contextlib.asynccontextmanager
async def open_world(
    note: Callable[[str], None],
    *,
    plain_count: int = 4,
    engine_count: int = 9,
    work_s: float = 0.06,
    create_plain: Callable[..., Worker] = Worker,
    create_engine: Callable[..., Worker] = Worker,
    configuration: dict[str, Any] | None = None,
    **machines: Any,
) -> AsyncIterator[World]:
    """Start everything; raise `NotStartedError` if it is not ready in time.

    Each engine holds two of the three models.
    """
    async with contextlib.AsyncExitStack() as stack:
        instances = await stack.enter_async_context(InstanceList())
        workers = []
        for number in range(plain_count + engine_count):
            if number < plain_count:
                worker = create_plain(PLAIN, note, work_s=work_s)
            else:
                held = (MODELS[number % 3], MODELS[(number + 1) % 3])
                worker = create_engine(
                    ENGINE,
                    note,
                    slots=_SLOTS,
                    models={name: set() for name in held},
                    work_s=work_s,
                )
            workers.append(await stack.enter_async_context(worker))
        instances.list_workers = lambda: [one.entry() for one in workers]
        deployment = stack.enter_context(
            Deployment(instances.address, note, **machines)
        )
        operator = Operator(deployment, note)
        first = configuration or build_configuration(1)
        if not await operator.put(first, _START_S):
            raise NotStartedError('the configuration was not acknowledged')
        await wait_until_ready(deployment)
        yield World(instances, workers, deployment, operator)


async def wait_until_ready(deployment: Deployment) -> None:
    """Wait until each edge machine says that it is ready."""
    request = encode('GET /readyz HTTP/1.1', {'Host': 'ready'})
    ends_at = time.monotonic() + _START_S
    for machine in deployment.edge:
        while True:
            address = deployment.ready(machine)
            answer = await fetch(address, request, _LOOK_TIMEOUT_S)
            if answer is not None and answer.status == 200:
                break
            if time.monotonic() > ends_at:
                raise NotStartedError(f'{machine.name} is not ready')
            await asyncio.sleep(_LOOK_S)
