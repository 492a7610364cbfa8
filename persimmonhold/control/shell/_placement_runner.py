"""Performs the decisions of placement against the engines."""

import asyncio
from typing import Final, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.catalogue import UpstreamEntry
from persimmonhold.control.machine import (
    RecordCopy,
    RecordIntent,
    RecordOrderEnd,
)
from persimmonhold.control.shell._placement_host import PlacementHost
from persimmonhold.messages import (
    Copy,
    CopyState,
    Inventory,
    Order,
    OrderOutcome,
    Residency,
)
from persimmonhold.placement import plan_missing
from persimmonhold.web import ClientRequest, fetch, parse_address

_ROUND_S: Final = 0.1
_TIMEOUT_S: Final = 2.0


@final
class PlacementRunner:
    """Commits intents, sends orders and observes inventories."""

    __slots__ = ('_node', '_sent')

    def __init__(self, node: PlacementHost) -> None:
        """Create a runner for the leading replica."""
        self._node = node
        self._sent: set[int] = set()

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            await self._plan()
            for order in tuple(self._node.state.orders.values()):
                await self._follow(order)
            await asyncio.sleep(_ROUND_S)

    async def _plan(self) -> None:
        state = self._node.state
        planned = plan_missing(
            state.catalogue,
            tuple(state.copies.values()),
            tuple(state.orders.values()),
        )
        for order in planned:
            await self._node.propose(
                RecordIntent(at_ms=self._node.now_ms(), order=order),
            )

    async def _follow(self, order: Order) -> None:
        upstream = self._node.state.catalogue.find(order.upstream)
        if not isinstance(upstream, UpstreamEntry):
            return
        if order.fence not in self._sent:
            await self._send(upstream, order)
        inventory = await _read_inventory(upstream)
        if inventory is not None and _is_ready(inventory, order):
            await self._record_ready(order)

    async def _send(self, upstream: UpstreamEntry, order: Order) -> None:
        request = ClientRequest(
            method='POST',
            target='/orders',
            body=msgspec.json.encode(order),
        )
        address = parse_address(upstream.address).unwrap()
        answered = await fetch(address, request, _TIMEOUT_S)
        if not isinstance(answered, Failed):
            self._sent.add(order.fence)

    async def _record_ready(self, order: Order) -> None:
        copy = Copy(
            target=order.target,
            version=order.version,
            upstream=order.upstream,
            accelerator=order.accelerator,
            state=CopyState.serving,
            fence=order.fence,
        )
        now_ms = self._node.now_ms()
        await self._node.propose(RecordCopy(at_ms=now_ms, copy=copy))
        await self._node.propose(
            RecordOrderEnd(
                at_ms=now_ms,
                fence=order.fence,
                outcome=OrderOutcome.accepted,
            ),
        )


async def _read_inventory(upstream: UpstreamEntry) -> Inventory | None:
    request = ClientRequest(method='GET', target='/inventory')
    address = parse_address(upstream.address).unwrap()
    answered = await fetch(address, request, _TIMEOUT_S)
    if isinstance(answered, Failed):
        return None
    return msgspec.json.decode(answered.unwrap().body, type=Inventory)


def _is_ready(inventory: Inventory, order: Order) -> bool:
    return any(
        held.target == order.target
        and held.version == order.version
        and held.accelerator == order.accelerator
        and held.residency is Residency.ready
        for held in inventory.held
    )
