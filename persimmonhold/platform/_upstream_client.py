"""Reads the platform's list of upstreams and their reports; sends orders."""

import asyncio
from types import MappingProxyType
from typing import Final, final
from urllib.parse import quote

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.fleet import (
    FleetOrder,
    ListedUpstream,
    OrderVerdict,
    UpstreamReport,
)
from persimmonhold.forwarding import UpstreamClient
from persimmonhold.observability import LogLevel, log_event
from persimmonhold.platform import _names as names
from persimmonhold.platform._listing import decode_list_page, decode_report
from persimmonhold.upstreams import ConnectionPool
from persimmonhold.web import (
    Address,
    ClientConnection,
    ClientRequest,
    FetchedResponse,
    encode_headers,
    fetch,
    fetch_on_connection,
    parse_address,
)

_READ_TIMEOUT_S: Final = 0.5  # two lost packets and a few round trips
_ORDER_TIMEOUT_S: Final = 0.25  # upstreams answer orders before execution
_MAX_PAGES: Final = 200  # a page has 50 entries
_MAX_BODY_BYTES: Final = 1_048_576  # a page has some 100 kB
_MAX_LIST_BYTES: Final = 16_777_216  # 6,600 upstreams at most of 2 kB each
# The reports of many upstreams are read at the same time; usual ones have 10 kB.
_MAX_REPORT_BYTES: Final = 262_144
_MAX_ORDER_RESPONSE_BYTES: Final = 16_384
_OK: Final = 200
_VERDICT_BY_STATUS: Final = MappingProxyType({
    200: OrderVerdict.holds,
    202: OrderVerdict.accepted,
    400: OrderVerdict.unknown_order,
    409: OrderVerdict.conflict,
    412: OrderVerdict.conflict,
    421: OrderVerdict.other_process,
})


@final
class PlatformUpstreamClient(UpstreamClient):
    """Reads reports over pooled connections; lists and orders over new ones.

    A page of the list does not tell which request it answers. If an earlier
    page came once more in place of the first one, upstreams would be missing
    from the list, so each read of the list begins with a new connection.
    """

    __slots__ = ('list_address', 'pool', 'vm_name')

    def __init__(self, list_address: Address, vm_name: str) -> None:
        """Create a client; `vm_name` identifies this VM in orders."""
        self.list_address = list_address
        self.vm_name = vm_name
        self.pool = ConnectionPool()

    async def read_list(self) -> Result[tuple[ListedUpstream, ...], Failure]:
        """Read all pages of the list, up to a limit.

        Entries that cannot be decoded are counted in the log and left out.
        """
        pool = ConnectionPool()
        try:
            return await self._read_pages(pool)
        finally:
            pool.close()

    async def read_report(
        self,
        upstream: str,
        address: str,
    ) -> Result[UpstreamReport, Failure]:
        """Read the report of an upstream."""
        peer = parse_address(address)
        if isinstance(peer, Failed):
            return peer
        body = await self._get_body(
            self.pool, peer.unwrap(), names.REPORT_PATH, _MAX_REPORT_BYTES
        )
        if isinstance(body, Failed):
            return body
        report = decode_report(body.unwrap())
        if isinstance(report, Failed):
            return Failed(
                _protocol_failure(
                    peer.unwrap(),
                    names.REPORT_PATH,
                    report.failure(),
                ),
            )
        return Success(report.unwrap())

    async def send_order(
        self,
        upstream: str,
        address: str,
        order: FleetOrder,
        fencing_token: int,
    ) -> OrderVerdict:
        """Send an order over a new connection; return the verdict on it."""
        peer = parse_address(address)
        if isinstance(peer, Failed):
            return OrderVerdict.not_sent
        request = self._build_order_request(upstream, order, fencing_token)
        response = await fetch(
            peer.unwrap(), request, _ORDER_TIMEOUT_S, _MAX_ORDER_RESPONSE_BYTES
        )
        if isinstance(response, Failed):
            if response.failure().kind is FailureKind.connect_failed:
                return OrderVerdict.not_sent
            return OrderVerdict.unanswered
        status = response.unwrap().head.status
        return _VERDICT_BY_STATUS.get(status, OrderVerdict.unanswered)

    def close(self) -> None:
        """Close the pooled connections."""
        self.pool.close()

    async def _read_pages(
        self, pool: ConnectionPool
    ) -> Result[tuple[ListedUpstream, ...], Failure]:
        """Read all pages of the list over connections of a pool."""
        listed: list[ListedUpstream] = []
        size_bytes = 0
        token = ''
        for _ in range(_MAX_PAGES):
            target = names.LIST_PATH
            if token:
                target = f'{target}?page-token={quote(token)}'
            body = await self._get_body(
                pool, self.list_address, target, _MAX_BODY_BYTES
            )
            if isinstance(body, Failed):
                return body
            size_bytes += len(body.unwrap())
            if size_bytes > _MAX_LIST_BYTES:
                return Failed(
                    _protocol_failure(
                        self.list_address, target, 'list too large'
                    )
                )
            page = decode_list_page(body.unwrap())
            if isinstance(page, Failed):
                return Failed(
                    _protocol_failure(
                        self.list_address, target, page.failure()
                    ),
                )
            listed.extend(page.unwrap().upstreams)
            if page.unwrap().unreadable_count:
                count = page.unwrap().unreadable_count
                log_event('list_unreadable', LogLevel.warning, entries=count)
            token = page.unwrap().next_page or ''
            if not token:
                break
        return Success(tuple(listed))

    def _build_order_request(
        self,
        upstream: str,
        order: FleetOrder,
        fencing_token: int,
    ) -> ClientRequest:
        document: dict[str, object] = {
            'op': order.kind.value,
            'model': order.model,
            'expect': order.expected,
            'holder': self.vm_name,
            'fencing-token': fencing_token,
        }
        if order.adapter:
            document['adapter'] = order.adapter
        return ClientRequest(
            method='POST',
            target=names.ORDER_PATH,
            headers=encode_headers({
                'content-type': 'application/json',
                names.EXPECTED_PROCESS: upstream,
            }),
            body=msgspec.json.encode(document),
        )

    async def _get_body(
        self,
        pool: ConnectionPool,
        peer: Address,
        target: str,
        max_bytes: int,
    ) -> Result[bytes, Failure]:
        """Return the body of a response with status 200, or the failure."""
        request = ClientRequest(method='GET', target=target)
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                fetched = await self._fetch_pooled_or_new(
                    pool, peer, request, max_bytes
                )
        except TimeoutError:
            return Failed(
                Failure(
                    kind=FailureKind.timed_out,
                    step=f'GET {target}',
                    peer=str(peer),
                ),
            )
        if isinstance(fetched, Failed):
            return fetched
        response = fetched.unwrap()
        if response.head.status != _OK:
            detail = f'status {response.head.status}'
            return Failed(_protocol_failure(peer, target, detail))
        return Success(response.body)

    async def _fetch_pooled_or_new(
        self,
        pool: ConnectionPool,
        peer: Address,
        request: ClientRequest,
        max_bytes: int,
    ) -> Result[FetchedResponse, Failure]:
        """Fetch over a pooled connection; if that fails, over a new one."""
        loop = asyncio.get_running_loop()
        pooled = pool.acquire(peer, loop.time())
        if pooled is not None:
            fetched = await _fetch_and_release(pool, pooled, request, max_bytes)
            if not isinstance(fetched, Failed):
                return fetched
        connected = await ClientConnection.connect(peer, _READ_TIMEOUT_S)
        if isinstance(connected, Failed):
            return connected
        return await _fetch_and_release(
            pool, connected.unwrap(), request, max_bytes
        )


async def _fetch_and_release(
    pool: ConnectionPool,
    connection: ClientConnection,
    request: ClientRequest,
    max_bytes: int,
) -> Result[FetchedResponse, Failure]:
    """Fetch over a connection, and return the connection to the pool."""
    try:
        return await fetch_on_connection(connection, request, max_bytes)
    finally:
        # The pool closes a connection whose response is incomplete.
        pool.release(connection, asyncio.get_running_loop().time())


def _protocol_failure(peer: Address, target: str, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.protocol_violation,
        step=f'GET {target}',
        peer=str(peer),
        detail=detail,
    )
