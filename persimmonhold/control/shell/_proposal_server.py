"""Serves the requests of VMs on the control channel.

A request that is resent while the first is pending is dropped; one that is
resent after a result gets the cached reply. Failures are not cached. Both
pending requests and cached replies are bounded in number.
"""

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING, Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result

from persimmonhold.control.machine import CommandResult
from persimmonhold.control.shell._control_client import (
    ControlClient,
    decode_control_message,
)
from persimmonhold.control.shell._control_messages import (
    ProposeReply,
    ProposeRequest,
    VmReport,
)
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.transport import Channel, Transport

if TYPE_CHECKING:
    from persimmonhold.control.shell._control_node import ControlNode

_MAX_PENDING_REQUESTS: Final = 1024
_MAX_CACHED_REPLIES: Final = 1024
_FORWARD_TIMEOUT_S: Final = 1.0


@final
class ProposalServer:
    """Handles the control channel of a VM that may lack a control replica."""

    __slots__ = ('_cached_replies', '_client', '_node', '_tasks', '_transport')

    def __init__(
        self,
        client: ControlClient,
        transport: Transport,
        node: 'ControlNode | None' = None,
    ) -> None:
        """Subscribe to the control channel; `node` is the VM's replica."""
        self._client = client
        self._node = node
        self._transport = transport
        self._tasks: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._cached_replies: OrderedDict[tuple[str, str], bytes] = (
            OrderedDict()
        )
        transport.set_receiver(Channel.control, self._receive)

    async def close(self) -> None:
        """Cancel the pending requests and wait until they have ended."""
        tasks = tuple(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _receive(self, peer: str, payload: bytes) -> None:
        message = decode_control_message(payload)
        match message:
            case ProposeReply():
                self._client.handle_reply(message)
            case ProposeRequest():
                self._handle_request(peer, message)
            case VmReport():
                if self._node is not None:
                    self._node.record_report(message)
            case None:
                return

    def _handle_request(self, peer: str, request: ProposeRequest) -> None:
        key = (peer, request.request_id)
        cached_reply = self._cached_replies.get(key)
        if cached_reply is not None:
            self._transport.send(peer, Channel.control, cached_reply)
            return
        if key in self._tasks or len(self._tasks) >= _MAX_PENDING_REQUESTS:
            return
        if self._node is None:
            return
        task = asyncio.get_running_loop().create_task(
            self._serve(self._node, peer, request),
        )
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._tasks.pop(key, None))

    async def _serve(
        self,
        node: 'ControlNode',
        peer: str,
        request: ProposeRequest,
    ) -> None:
        proposed = await self._propose(node, request)
        if isinstance(proposed, Failed):
            reply = ProposeReply(
                request_id=request.request_id,
                failure=proposed.failure(),
                leader=node.log.leader,
            )
            encoded = msgspec.msgpack.encode(reply)
        else:
            reply = ProposeReply(
                request_id=request.request_id,
                result=proposed.unwrap(),
                leader=node.log.leader,
            )
            encoded = msgspec.msgpack.encode(reply)
            self._cache_reply((peer, request.request_id), encoded)
        self._transport.send(peer, Channel.control, encoded)

    async def _propose(
        self,
        node: 'ControlNode',
        request: ProposeRequest,
    ) -> Result[CommandResult, Failure]:
        if node.is_leader:
            return await node.propose(request.command)
        if not request.forwarded:
            return await self._client.propose(
                request.command,
                _FORWARD_TIMEOUT_S,
                forwarded=True,
            )
        return Failed(
            Failure(
                kind=FailureKind.not_leader,
                step='propose to control',
                peer=node.log.leader,
            ),
        )

    def _cache_reply(self, key: tuple[str, str], encoded: bytes) -> None:
        self._cached_replies[key] = encoded
        if len(self._cached_replies) > _MAX_CACHED_REPLIES:
            self._cached_replies.popitem(last=False)
