"""An HTTP client of the operator interface."""

import asyncio
from typing import Any, Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.operations._operator_reply import OperatorReply
from persimmonhold.web import (
    Address,
    ClientRequest,
    FetchedResponse,
    encode_headers,
    fetch,
)

_REQUEST_TIMEOUT_S: Final = 10.0
_PAUSE_AFTER_ALL_ADDRESSES_S: Final = 0.3
_MAX_ATTEMPTS_PER_ADDRESS: Final = 8
_UNAVAILABLE: Final = 503


@final
class OperatorClient:
    """Sends requests to the control VMs, in turn until one answers.

    Each address is tried several times; status 503 counts as no answer.

    A command is safe to resend: it carries a command id, and control answers
    a resend with the result of the first execution.
    """

    __slots__ = ('_addresses', 'operator', 'reason')

    def __init__(self, addresses: tuple[Address, ...], operator: str) -> None:
        """Create a client for `operator`; changes carry `reason` if set."""
        self.operator = operator
        self.reason = ''
        self._addresses = addresses

    async def get(self, target: str) -> Result[OperatorReply, Failure]:
        """Send a GET request and return the response."""
        return await self._send(ClientRequest(method='GET', target=target))

    async def send_change(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        document: object = None,
    ) -> Result[OperatorReply, Failure]:
        """Send a change and return the response.

        `headers` hold the expected revision, if any, and the command id.
        """
        body = b'' if document is None else msgspec.json.encode(document)
        all_headers = {'persimmonhold-operator': self.operator, **headers}
        if self.reason:
            all_headers['persimmonhold-reason'] = self.reason
        return await self._send(
            ClientRequest(
                method=method,
                target=target,
                headers=encode_headers(all_headers),
                body=body,
            ),
        )

    async def _send(
        self,
        request: ClientRequest,
    ) -> Result[OperatorReply, Failure]:
        last_reply: Result[OperatorReply, Failure] = Failed(
            Failure(
                kind=FailureKind.connect_failed,
                step='reach control',
                detail='no control address is configured',
            ),
        )
        for attempt in range(_MAX_ATTEMPTS_PER_ADDRESS * len(self._addresses)):
            address = self._addresses[attempt % len(self._addresses)]
            last_reply = await self._send_to(address, request)
            if _is_final_reply(last_reply):
                return last_reply
            if (attempt + 1) % len(self._addresses) == 0:
                await asyncio.sleep(_PAUSE_AFTER_ALL_ADDRESSES_S)
        return last_reply

    async def _send_to(
        self,
        address: Address,
        request: ClientRequest,
    ) -> Result[OperatorReply, Failure]:
        fetched = await fetch(address, request, _REQUEST_TIMEOUT_S)
        if isinstance(fetched, Failed):
            return fetched
        return _decode_reply(address, fetched.unwrap())


def _is_final_reply(reply: Result[OperatorReply, Failure]) -> bool:
    """Return whether a control VM answered, with a status other than 503."""
    if isinstance(reply, Failed):
        return False
    return reply.unwrap().status != _UNAVAILABLE


def _decode_reply(
    address: Address,
    response: FetchedResponse,
) -> Result[OperatorReply, Failure]:
    try:
        document = msgspec.json.decode(
            response.body or b'{}',
            type=dict[str, Any],
        )
    except msgspec.DecodeError as error:
        return Failed(
            Failure(
                kind=FailureKind.protocol_violation,
                step='read answer',
                peer=str(address),
                detail=str(error),
            ),
        )
    return Success(
        OperatorReply(
            status=response.head.status,
            document=document,
            peer=str(address),
        ),
    )
