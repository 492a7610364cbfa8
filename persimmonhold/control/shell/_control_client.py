"""Proposes commands to the control leader on whichever VM it runs.

A command is resent with the same request id and content until the leader
answers or the timeout expires. The state machine applies these commands
idempotently, so a lost reply or a duplicate request has no second effect.
"""

import asyncio
import itertools
import secrets
from collections.abc import Iterator
from typing import Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.control.machine import CommandResult
from persimmonhold.control.shell._control_messages import (
    ControlMessage,
    ProposeReply,
    ProposeRequest,
    VmCommand,
)
from persimmonhold.control.shell._vm_agent_runner import VmAgentRunner
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.transport import Channel, Transport

_REQUEST_ID_BYTES: Final = 12
_REPLY_TIMEOUT_S: Final = 0.3
_RETRY_DELAY_S: Final = 0.05
_PROPOSE_TIMEOUT_S: Final = 3.0


@final
class ControlClient:
    """Sends proposals and matches replies to them by request id."""

    __slots__ = ('_reply_queues', '_transport', '_vm')

    def __init__(self, vm: VmAgentRunner, transport: Transport) -> None:
        """Create the client of a VM; pass each reply to `handle_reply`."""
        self._vm = vm
        self._transport = transport
        self._reply_queues: dict[str, asyncio.Queue[ProposeReply]] = {}

    def handle_reply(self, reply: ProposeReply) -> None:
        """Deliver a reply to its request; drop it if none is pending."""
        reply_queue = self._reply_queues.get(reply.request_id)
        if reply_queue is not None:
            reply_queue.put_nowait(reply)

    async def propose(
        self,
        command: VmCommand,
        timeout_s: float = _PROPOSE_TIMEOUT_S,
        *,
        forwarded: bool = False,
    ) -> Result[CommandResult, Failure]:
        """Have a command committed and return its result.

        After a failure the command may still have been committed.
        """
        request = ProposeRequest(
            request_id=secrets.token_hex(_REQUEST_ID_BYTES),
            command=command,
            forwarded=forwarded,
        )
        self._reply_queues[request.request_id] = asyncio.Queue()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._send_until_answered(request)
        except TimeoutError:
            return Failed(
                Failure(
                    kind=FailureKind.no_quorum,
                    step='propose to control',
                    peer=self._vm.agent.leader,
                    detail='no leader answered before the timeout',
                ),
            )
        finally:
            self._reply_queues.pop(request.request_id)

    async def _send_until_answered(
        self,
        request: ProposeRequest,
    ) -> Result[CommandResult, Failure]:
        encoded = msgspec.msgpack.encode(request)
        for peer in self._cycle_peers():
            self._transport.send(peer, Channel.control, encoded)
            reply = await self._wait_for_reply(request.request_id)
            if reply is None:
                continue
            if reply.result is not None:
                return Success(reply.result)
            if reply.leader:
                self._vm.agent.leader = reply.leader
            await asyncio.sleep(_RETRY_DELAY_S)
        raise TimeoutError

    def _cycle_peers(self) -> Iterator[str]:
        """Yield the leader, alternating with the other control VMs."""
        for attempt in itertools.count():
            names = [
                name
                for name in self._vm.control_vm_names
                if name != self._vm.record.name
            ]
            position = 0
            if attempt % 2 and len(names) > 1:
                position = 1 + attempt // 2 % (len(names) - 1)
            yield names[position] if names else ''

    async def _wait_for_reply(self, request_id: str) -> ProposeReply | None:
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_S):
                return await self._reply_queues[request_id].get()
        except TimeoutError:
            return None


def decode_control_message(payload: bytes) -> ControlMessage | None:
    """Decode a message; return None if the payload is malformed."""
    try:
        return msgspec.msgpack.decode(payload, type=ControlMessage)
    except msgspec.DecodeError:
        return None
