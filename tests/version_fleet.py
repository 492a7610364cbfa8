"""Fleets whose upstreams are of several software versions, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from persimmonhold.streams import StreamOrigin
from tests.limited_fleet import LimitedFleet

Scenario: TypeAlias = Callable[[LimitedFleet], Awaitable[None]]
Runner: TypeAlias = Callable[[Scenario], None]
OLD: Final = StreamOrigin('models', 'v1')
NEW: Final = StreamOrigin('models', 'v2')
# Until the controller has read a list and told the entries.
LIST_S: Final = 1.5


async def run_versions(
    fleet: LimitedFleet, scenario: Scenario, *versions: str
) -> None:
    """Run a scenario; the upstreams are of the versions in turn."""
    for number, name in enumerate(fleet.upstreams):
        version = versions[number % len(versions)]
        fleet.upstreams[name].software_version = version
    async with fleet:
        await asyncio.sleep(2)
        await scenario(fleet)


async def release(fleet: LimitedFleet) -> None:
    """Replace all upstreams by ones of another version."""
    fleet.set_version('v2')
    await asyncio.sleep(LIST_S)


async def wait_for_leader(fleet: LimitedFleet) -> None:
    """Wait until a new leader has told the entries of the upstreams."""
    await fleet.system.wait_for_leader()
    await asyncio.sleep(LIST_S)


async def find_origins(
    fleet: LimitedFleet, begun_as: str = 'lost'
) -> set[StreamOrigin | None]:
    """Return where all entries believe that a stream began."""
    return {
        await services.fleet_client.find_stream_origin('models', begun_as)
        for services in fleet.services.values()
    }
