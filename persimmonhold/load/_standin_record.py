"""Reads what the stand-ins of a deployment have recorded."""

from typing import Final, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.deployment import DeploymentDocument
from persimmonhold.standin import Execution
from persimmonhold.web import ClientRequest, fetch, parse_address

_TIMEOUT_S: Final = 5.0


@final
class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """The response to `GET /_standin/state` of an engine.

    The bytes are by accelerator. `overcommitted` counts how often an
    accelerator held more than its capacity.
    """

    capacity_bytes: dict[str, int]
    held_bytes: dict[str, int]
    peak_bytes: dict[str, int]
    overcommitted: int
    loads: int
    unloads: int
    orders_refused: int
    requests_run: int
    adapter_loads: int = 0
    adapter_unloads: int = 0


@final
class ExecutionList(msgspec.Struct, frozen=True, kw_only=True):
    """The response to `GET /_standin/executions` of a service."""

    executions: tuple[Execution, ...]


@final
class StandinRecord(msgspec.Struct, frozen=True, kw_only=True):
    """States of engines and calls executed by services, by upstream name.

    `unreachable` names the stand-ins that did not answer.
    """

    engines: dict[str, EngineState]
    executions: dict[str, tuple[Execution, ...]]
    unreachable: tuple[str, ...]

    @property
    def move_count(self) -> int:
        """The number of completed loads and unloads of models."""
        return sum(
            state.loads
            - state.adapter_loads
            + state.unloads
            - state.adapter_unloads
            for state in self.engines.values()
        )

    @property
    def adapter_move_count(self) -> int:
        """The number of completed loads and unloads of adapters."""
        return sum(
            state.adapter_loads + state.adapter_unloads
            for state in self.engines.values()
        )

    @property
    def accelerator_count(self) -> int:
        """The number of accelerators of the engines that answered."""
        return sum(len(state.capacity_bytes) for state in self.engines.values())

    @property
    def overcommit_count(self) -> int:
        """How often the memory use of an accelerator exceeded its capacity."""
        return sum(state.overcommitted for state in self.engines.values())


async def read_standin_records(document: DeploymentDocument) -> StandinRecord:
    """Read the records of every stand-in of a deployment."""
    engines: dict[str, EngineState] = {}
    executions: dict[str, tuple[Execution, ...]] = {}
    unreachable: list[str] = []
    for upstream in document.upstreams:
        is_engine = upstream.kind == 'engine'
        page = 'state' if is_engine else 'executions'
        body = await _fetch_page(upstream.address, f'/_standin/{page}')
        if body is None:
            unreachable.append(upstream.name)
        elif is_engine:
            engines[upstream.name] = msgspec.json.decode(body, type=EngineState)
        else:
            listed = msgspec.json.decode(body, type=ExecutionList)
            executions[upstream.name] = listed.executions
    return StandinRecord(
        engines=engines,
        executions=executions,
        unreachable=tuple(unreachable),
    )


async def _fetch_page(address: str, target: str) -> bytes | None:
    """Return the body of a page of a stand-in, or None if it is unreachable."""
    fetched = await fetch(
        parse_address(address).unwrap(),
        ClientRequest(method='GET', target=target),
        _TIMEOUT_S,
    )
    if isinstance(fetched, Failed):
        return None
    return fetched.unwrap().body
