"""An entry's side of the exchange with the VM that gives orders.

The entry reports what it runs and is asked for, and takes facts and replies.
Where no update came for a while, it reads the list itself, so that an
upstream that leaves gets no new requests.
"""

import asyncio
import itertools
import random
from typing import Final, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.control.shell import VmAgentRunner
from persimmonhold.fleet import (
    AdapterReply,
    AdapterRequest,
    FleetMessage,
    FleetUpdate,
)
from persimmonhold.forwarding._forward_hub import ForwardHub
from persimmonhold.forwarding._upstream_client import UpstreamClient
from persimmonhold.observability import LogLevel, log_event
from persimmonhold.tasks import wait_at_most
from persimmonhold.transport import Channel, Transport

_ID_BITS: Final = 32  # a restarted entry does not reuse ids
_REPORT_S: Final = 0.1  # as often as the giver of orders plans
_LEAST_REPORT_S: Final = 0.02  # between reports of requests that wait
_RESEND_S: Final = 0.08  # an adapter takes some 20 ms with the ways
_ADAPTER_TIMEOUT_S: Final = 0.3
_LIST_OLD_S: Final = 1.5  # updates come every 0.1 s, lists every 0.5 s
_LIST_SHARE: Final = 0.25  # entries that read the list at the same time


@final
class FleetClient:
    """Reports, updates and requests for adapters of one entry."""

    __slots__ = (
        'decoder',
        'hub',
        'pending_replies',
        'request_ids',
        'rng',
        'transport',
        'upstream_client',
        'vm',
    )

    def __init__(
        self,
        hub: ForwardHub,
        vm: VmAgentRunner,
        transport: Transport,
        upstream_client: UpstreamClient,
        rng: random.Random,
    ) -> None:
        """Subscribe to the channel."""
        self.hub = hub
        self.vm = vm
        self.transport = transport
        self.upstream_client = upstream_client
        self.rng = rng
        self.request_ids = itertools.count(rng.getrandbits(_ID_BITS))
        self.pending_replies: dict[int, asyncio.Future[AdapterReply]] = {}
        self.decoder = msgspec.msgpack.Decoder[FleetMessage](FleetMessage)
        transport.subscribe(Channel.fleet, self.receive)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self._send(self.hub.build_report())
            if self.hub.clock() - self._list_made_at > _LIST_OLD_S:
                await self._read_list()
            self.hub.request_waiting.clear()
            await asyncio.sleep(_LEAST_REPORT_S)
            await wait_at_most(
                self.hub.request_waiting,
                _REPORT_S - _LEAST_REPORT_S,
            )

    async def request_adapter(
        self,
        service: str,
        upstream: str,
        model: str,
        adapter: str,
    ) -> bool:
        """Have an adapter loaded; tell whether it is there now."""
        request = AdapterRequest(
            request_id=next(self.request_ids),
            service=service,
            upstream=upstream,
            model=model,
            adapter=adapter,
        )
        reply: asyncio.Future[AdapterReply] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending_replies[request.request_id] = reply
        try:
            async with asyncio.timeout(_ADAPTER_TIMEOUT_S):
                answered = await self._ask_until_answered(request, reply)
        except TimeoutError:
            log_event('adapter_unanswered', upstream=upstream, adapter=adapter)
            return False
        finally:
            self.pending_replies.pop(request.request_id)
        if not answered.is_ready:
            log_event(
                'adapter_refused',
                upstream=upstream,
                model=model,
                adapter=adapter,
                reason=answered.reason,
            )
        return answered.is_ready

    def receive(self, peer: str, payload: bytes) -> None:
        """Take a message of the channel."""
        try:
            message = self.decoder.decode(payload)
        except msgspec.DecodeError as error:
            log_event('bad_message', LogLevel.warning, error=str(error))
            return
        if isinstance(message, FleetUpdate):
            self.hub.apply_update(message)
        elif isinstance(message, AdapterReply):
            waiting = self.pending_replies.get(message.request_id)
            if waiting is not None and not waiting.done():
                waiting.set_result(message)

    @property
    def _list_made_at(self) -> float:
        return self.hub.dispatcher.listed_at

    async def _ask_until_answered(
        self,
        request: AdapterRequest,
        reply: asyncio.Future[AdapterReply],
    ) -> AdapterReply:
        while True:
            self._send(request)
            done, _ = await asyncio.wait((reply,), timeout=_RESEND_S)
            if done:
                return reply.result()

    async def _read_list(self) -> None:
        """Read the list in the place of the giver of orders."""
        if self.rng.random() > _LIST_SHARE:
            return
        listed = await self.upstream_client.read_list()
        if isinstance(listed, Failed):
            return
        upstreams = listed.unwrap()
        self.hub.dispatcher.apply_list(upstreams, self.hub.clock())
        log_event('list_read_by_entry', upstreams=len(upstreams))

    def _send(self, message: FleetMessage) -> None:
        leader = self.vm.agent.leader
        if leader and leader != self.vm.record.name:
            encoded = msgspec.msgpack.encode(message)
            self.transport.send(leader, Channel.fleet, encoded)
