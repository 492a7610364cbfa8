"""The operator interface of the fleet controller."""

from typing import Final, final

from persimmonhold.forwarding._fleet_runner import FleetRunner
from persimmonhold.forwarding._fleet_term import FleetTerm
from persimmonhold.forwarding._quarantine_desk import (
    end_quarantine,
    list_quarantines,
)
from persimmonhold.forwarding._workspace_desk import list_workspaces
from persimmonhold.web import Exchange, ExchangeHandler, find_header

QUARANTINES_PATH: Final = '/fleet/v1/quarantines'
WORKSPACES_PATH: Final = '/fleet/v1/workspaces'
OPERATOR_HEADER: Final = 'persimmonhold-operator'
_OK: Final = 200
_NOT_FOUND: Final = 404
_METHOD_NOT_ALLOWED: Final = 405
_UNAVAILABLE: Final = 503


@final
class FleetOperatorHandler(ExchangeHandler):
    """Serves quarantines and workspaces; the platform's handler does the rest.

    Only the VM whose fleet controller is active does so; others answer 503.
    """

    def __init__(
        self, runner: FleetRunner, platform_handler: ExchangeHandler
    ) -> None:
        """Create the handler of a control VM."""
        self.runner = runner
        self.platform_handler = platform_handler

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request of an operator."""
        path = exchange.head.path
        is_own = path in {QUARANTINES_PATH, WORKSPACES_PATH}
        if not is_own and not path.startswith(f'{QUARANTINES_PATH}/'):
            await self.platform_handler.serve(exchange)
            return
        term = self.runner.term
        if term is None or not self.runner.leadership.may_act(term):
            await exchange.respond_json(_UNAVAILABLE, {'reason': 'not_leading'})
            return
        if path == WORKSPACES_PATH:
            await self._serve_workspaces(exchange, term)
        else:
            await self._serve_quarantines(exchange, term)

    async def _serve_workspaces(
        self, exchange: Exchange, term: FleetTerm
    ) -> None:
        if exchange.head.method == 'GET':
            listed = list_workspaces(
                self.runner.leadership.node.state.view.routes,
                term.usage_book,
                self.runner.clock(),
            )
            await exchange.respond_json(_OK, listed)
        else:
            await exchange.respond_json(
                _METHOD_NOT_ALLOWED, {'reason': 'method_not_allowed'}
            )

    async def _serve_quarantines(
        self, exchange: Exchange, term: FleetTerm
    ) -> None:
        method = exchange.head.method
        quarantine_id = exchange.head.path[len(QUARANTINES_PATH) + 1 :]
        now = self.runner.clock()
        if method == 'GET' and not quarantine_id:
            listed = list_quarantines(term.controller, now)
            await exchange.respond_json(_OK, {'quarantines': listed})
        elif method == 'DELETE' and quarantine_id:
            operator = find_header(exchange.head.headers, OPERATOR_HEADER)
            is_ended = end_quarantine(
                term.controller, quarantine_id, operator, now
            )
            self.runner.plan_wakeup.set()
            await exchange.respond_json(
                _OK if is_ended else _NOT_FOUND,
                {'ended': quarantine_id}
                if is_ended
                else {'reason': 'unknown_quarantine'},
            )
        else:
            await exchange.respond_json(
                _METHOD_NOT_ALLOWED, {'reason': 'method_not_allowed'}
            )
