"""Has the leader answer a request that reached another control VM."""

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

_FORWARDED: Final = 'persimmonhold-forwarded'
_TIMEOUT_S: Final = 6.0
_PASSED: Final = frozenset((
    b'if-match',
    b'persimmonhold-operator',
    b'persimmonhold-command-id',
    b'persimmonhold-reason',
))


@final
class LeaderForwarder:
    """Passes a request on once, to the operators' address of the leader."""

    __slots__ = ('_node',)

    def __init__(self, node: ControlNode) -> None:
        """Create the forwarder of a replica."""
        self._node = node

    async def forward(self, operator: OperatorExchange) -> None:
        """Send the request to the leader, and its answer back."""
        exchange = operator.exchange
        leader = parse_address(self._node.leader_operator_address)
        if isinstance(leader, Failed) or operator.header(_FORWARDED):
            await operator.refuse(
                OperatorRefusal.no_leader,
                'no leader is known; resend the same command',
            )
            return
        body = await exchange.read_body()
        if isinstance(body, Failed):
            detail = body.failure().describe()
            await operator.refuse(OperatorRefusal.body_too_large, detail)
            return
        request = ClientRequest(
            method=exchange.head.method,
            target=exchange.head.target,
            headers=_passed_headers(exchange.head.headers),
            body=body.unwrap(),
        )
        fetched = await fetch(leader.unwrap(), request, _TIMEOUT_S)
        if isinstance(fetched, Failed):
            detail = fetched.failure().describe()
            await operator.refuse(OperatorRefusal.no_leader, detail)
            return
        answer = fetched.unwrap()
        await exchange.respond(
            answer.head.status,
            answer.body,
            answer.head.header('content-type'),
        )


def _passed_headers(headers: Headers) -> Headers:
    passed = tuple(pair for pair in headers if pair[0] in _PASSED)
    return (*passed, *encode_headers({_FORWARDED: '1'}))
