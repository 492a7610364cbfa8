"""The platform's operator interface: reads and replaces the configuration."""

from typing import Final, final

from returns.result import Failure as Failed

from persimmonhold.control.machine import CommandStatus
from persimmonhold.control.shell import ControlNode
from persimmonhold.observability import log_event
from persimmonhold.platform import _names as names
from persimmonhold.platform._configuration import (
    decode_configuration,
    encode_configuration,
)
from persimmonhold.web import Exchange, ExchangeHandler, encode_headers

_OK: Final = 200
_TEMPORARY_REDIRECT: Final = 307
_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_METHOD_NOT_ALLOWED: Final = 405
_UNAVAILABLE: Final = 503


@final
class ConfigurationHandler(ExchangeHandler):
    """Reads and replaces the configuration for operators.

    Only the leader does so; other replicas redirect to it.
    """

    def __init__(self, node: ControlNode) -> None:
        """Create the handler of a control replica."""
        self.node = node
        self.methods = {'GET': self._serve_get, 'PUT': self._serve_put}

    async def serve(self, exchange: Exchange) -> None:
        """Answer on the leader; redirect to it from any other replica."""
        if exchange.head.path == names.CONFIGURATION_PATH:
            await self._serve_configuration(exchange)
        else:
            await exchange.respond_json(_NOT_FOUND, {})

    async def _serve_configuration(self, exchange: Exchange) -> None:
        method = exchange.head.method
        serve = self.methods.get(method)
        if serve is None:
            await exchange.respond_json(_METHOD_NOT_ALLOWED, {})
        elif self.node.is_leader:
            await serve(exchange)
        else:
            await self._redirect(exchange)

    async def _redirect(self, exchange: Exchange) -> None:
        """Redirect to the leader, or refuse if its address is unknown."""
        leader = self.node.leader_operator_address
        own = self.node.vm.record.operators if self.node.vm else ''
        if leader in {'', own}:
            await self._refuse(
                exchange,
                _UNAVAILABLE,
                'the address of the control leader is unknown',
            )
            return
        location = f'http://{leader}{names.CONFIGURATION_PATH}'
        headers = encode_headers({'location': location})
        await exchange.respond_json(_TEMPORARY_REDIRECT, {}, headers)

    async def _serve_put(self, exchange: Exchange) -> None:
        """Commit a new configuration; refuse one that is not valid."""
        body = await exchange.read_body()
        if isinstance(body, Failed):
            detail = body.failure().describe()
            await self._refuse(exchange, _UNAVAILABLE, detail)
            return
        document = decode_configuration(body.unwrap())
        if isinstance(document, Failed):
            await self._refuse(exchange, _BAD_REQUEST, document.failure())
            return
        version = document.unwrap().version
        changed = await self.node.put_routes(document.unwrap())
        if isinstance(changed, Failed):
            detail = changed.failure().describe()
            await self._refuse(exchange, _UNAVAILABLE, detail)
        elif changed.unwrap().status is CommandStatus.done:
            log_event(
                'configuration_accepted',
                version=version,
                stored_version=self.node.state.view.routes.version,
            )
            await exchange.respond_json(_OK, {'version': version})
        else:
            detail = changed.unwrap().detail
            await self._refuse(exchange, _BAD_REQUEST, detail)

    async def _serve_get(self, exchange: Exchange) -> None:
        """Return the configuration, once this replica has proved to lead."""
        barrier = await self.node.read_barrier()
        document = self.node.state.view.routes
        if isinstance(barrier, Failed) or not document.version:
            await self._refuse(
                exchange,
                _UNAVAILABLE,
                'no configuration, or leadership not confirmed',
            )
            return
        await exchange.respond(_OK, encode_configuration(document))

    async def _refuse(
        self,
        exchange: Exchange,
        status: int,
        detail: str,
    ) -> None:
        log_event(
            'configuration_refused',
            method=exchange.head.method,
            status=status,
            detail=detail,
        )
        await exchange.respond_json(status, {'error': detail})
