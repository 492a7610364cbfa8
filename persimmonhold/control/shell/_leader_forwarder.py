"""Forwards operator requests from other control VMs to the leader."""

from typing import Final, final

from returns.result import Failure as Failed

from persimmonhold.control.shell._control_node import ControlNode
from persimmonhold.control.shell._operator_exchange import OperatorExchange
from persimmonhold.control.shell._operator_refusal import OperatorRefusal
from persimmonhold.web import (
    ClientRequest,
    Headers,
    encode_headers,
    fetch,
    parse_address,
)

_IS_FORWARDED_HEADER: Final = 'persimmonhold-forwarded'
_FORWARD_TIMEOUT_S: Final = 6.0
_COPIED_HEADERS: Final = frozenset((
    b'if-match',
    b'persimmonhold-operator',
    b'persimmonhold-command-id',
    b'persimmonhold-reason',
))


@final
class LeaderForwarder:
    """Forwards a request to the leader's operator address, at most once."""

    __slots__ = ('_node',)

    def __init__(self, node: ControlNode) -> None:
        """Create a forwarder for a replica that is not the leader."""
        self._node = node

    async def forward(self, operator_exchange: OperatorExchange) -> None:
        """Send the request to the leader and respond with its response.

        Refuse it if no leader is known or another VM has forwarded it already.
        """
        exchange = operator_exchange.exchange
        leader = parse_address(self._node.leader_operator_address)
        if isinstance(leader, Failed) or operator_exchange.header(
            _IS_FORWARDED_HEADER
        ):
            await operator_exchange.refuse(
                OperatorRefusal.no_leader,
                'no leader is known; resend the same command',
            )
            return
        body = await exchange.read_body()
        if isinstance(body, Failed):
            detail = body.failure().describe()
            await operator_exchange.refuse(
                OperatorRefusal.body_too_large, detail
            )
            return
        request = ClientRequest(
            method=exchange.head.method,
            target=exchange.head.target,
            headers=_headers_to_forward(exchange.head.headers),
            body=body.unwrap(),
        )
        fetched = await fetch(leader.unwrap(), request, _FORWARD_TIMEOUT_S)
        if isinstance(fetched, Failed):
            detail = fetched.failure().describe()
            await operator_exchange.refuse(OperatorRefusal.no_leader, detail)
            return
        response = fetched.unwrap()
        await exchange.respond(
            response.head.status,
            response.body,
            response.head.header('content-type'),
        )


def _headers_to_forward(headers: Headers) -> Headers:
    copied = tuple(pair for pair in headers if pair[0] in _COPIED_HEADERS)
    return (*copied, *encode_headers({_IS_FORWARDED_HEADER: '1'}))
