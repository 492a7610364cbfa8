"""Takes the requests of callers that are forwarded by their route."""

from types import MappingProxyType
from typing import Final, final

from returns.result import Failure as Failed

from persimmonhold.failures import FailureKind
from persimmonhold.fleet import DispatchRequest, RequestProfile
from persimmonhold.forwarding._caller_response import CallerResponse
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.forwarding._forward_runner import ForwardRunner
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.observability import log_event
from persimmonhold.routes import ForwardRoute, RouteKind, RouteTable
from persimmonhold.web import Exchange, ExchangeHandler, Rejection

_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_TIMEOUT: Final = 408
_TOO_LARGE: Final = 413
_UNAVAILABLE: Final = 503
_COME_BACK_S: Final = 0.5
_ISOLATED_RETURN_S: Final = 1.5  # control leads again 1 to 2 s after a start
_SPREAD: Final = 0.5  # so that those refused together return apart
_MS_PER_S: Final = 1000
_PATIENCE_S: Final = 2.0  # a caller leaves a stream after the longest of
_PATIENCE_TARGETS: Final = 4.0  # these without an event
_PATIENCE_GAPS: Final = 8.0
_PATIENCE_SHARE: Final = 0.9  # the rest is for the way of the first event
_BODY_STATUSES: Final = MappingProxyType({
    FailureKind.timed_out: _TIMEOUT,
    FailureKind.refused: _TOO_LARGE,
})


@final
class ForwardHandler(ExchangeHandler):
    """Matches requests with the routes in force and has them run."""

    def __init__(self, services: ForwardServices) -> None:
        """Create the handler of an entry."""
        self.services = services
        self.route_table = RouteTable(services.link.view.routes)
        self.running_count = 0

    async def serve(self, exchange: Exchange) -> None:
        """Run a request, or refuse what cannot be one."""
        self.running_count += 1
        try:
            await self._serve(exchange)
        finally:
            self.running_count -= 1

    def reject(self, status: int) -> Rejection:
        """Return the answer to what is no request."""
        return Rejection(status=status)

    def refresh_route_table(self) -> RouteTable:
        """Return the index of the routes in force."""
        document = self.services.link.view.routes
        if document is not self.route_table.document:
            if document != self.route_table.document:
                log_event('routes_in_force', version=document.version)
            self.route_table = RouteTable(document)
        return self.route_table

    async def _serve(self, exchange: Exchange) -> None:
        arrived_at = self.services.hub.clock()
        table = self.refresh_route_table()
        is_allowed = self.services.link.can_serve
        if not table.document.version or not is_allowed:
            return_s = _ISOLATED_RETURN_S * self._spread()
            self._refuse(exchange, _UNAVAILABLE, 'isolated', return_s)
            return
        head = exchange.head
        path = head.target.partition('?')[0]
        route = table.match(head.header('host'), path)
        profile = self.services.dialect.decode_profile(head)
        if route is None:
            self._refuse(exchange, _NOT_FOUND, 'no_route')
        elif isinstance(profile, Failed):
            self._refuse(exchange, _BAD_REQUEST, 'malformed_request')
        else:
            ticket = self._ticket(route, profile.unwrap(), arrived_at)
            await self._admit(exchange, ticket)

    async def _admit(self, exchange: Exchange, ticket: DispatchRequest) -> None:
        """Forward a request unless no configured model could serve it."""
        spec = self.route_table.services.get(ticket.service)
        engine = spec.engine if spec else None
        if (
            engine is None
            or engine.find_model(ticket.profile.model) is not None
        ):
            await self._forward(exchange, ticket)
        else:
            self._refuse(exchange, _UNAVAILABLE, 'unknown_model', _COME_BACK_S)

    async def _forward(
        self,
        exchange: Exchange,
        ticket: DispatchRequest,
    ) -> None:
        body = await exchange.read_body()
        if isinstance(body, Failed):
            status = _BODY_STATUSES.get(body.failure().kind, _UNAVAILABLE)
            self._refuse(exchange, status, 'body', _COME_BACK_S)
            return
        request = ForwardRequest(
            ticket=ticket,
            head=exchange.head,
            body=body.unwrap(),
        )
        await ForwardRunner(self.services, request, exchange).run()

    def _spread(self) -> float:
        return 1 + _SPREAD * self.services.hub.dispatcher.rng.random()

    def _request_id(self, exchange: Exchange) -> str:
        profile = self.services.dialect.decode_profile(exchange.head)
        if isinstance(profile, Failed):
            return ''
        return profile.unwrap().request_id

    def _ticket(
        self,
        route: ForwardRoute,
        profile: RequestProfile,
        arrived_at: float,
    ) -> DispatchRequest:
        hub = self.services.hub
        service = self._choose_service(route)
        spec = self.route_table.services.get(service)
        ends_at = arrived_at + route.timeout_ms / _MS_PER_S
        if profile.deadline_ms is not None:
            ends_at = min(ends_at, arrived_at + profile.deadline_ms / _MS_PER_S)
        return DispatchRequest(
            number=next(hub.request_numbers),
            service=service,
            route=route,
            profile=profile,
            arrived_at=arrived_at,
            due_at=arrived_at + route.target_ms / _MS_PER_S,
            patience_until=min(ends_at, arrived_at + _patience_s(route)),
            ends_at=ends_at,
            is_engine=spec is not None and spec.engine is not None,
        )

    def _choose_service(self, route: ForwardRoute) -> str:
        """Draw one of the services of a route by weight."""
        if len(route.targets) == 1:
            return route.targets[0].service
        source = self.services.hub.dispatcher.rng
        names = [target.service for target in route.targets]
        weights = [target.weight for target in route.targets]
        return source.choices(names, weights)[0]

    def _refuse(
        self,
        exchange: Exchange,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        now = self.services.hub.clock()
        left_out = self.services.sampler.admit(reason, now)
        if left_out is not None:
            log_event(
                'refused',
                request_id=self._request_id(exchange),
                target=exchange.head.target,
                status=status,
                reason=reason,
                version=self.route_table.document.version,
                left_out=left_out,
            )
        headers = self.services.dialect.build_refusal_headers(retry_after_s)
        reply = CallerResponse(exchange, self.services.hub.clock)
        reply.refuse(status, reason, headers)


def _patience_s(route: ForwardRoute) -> float:
    """Return how long a caller waits for a first event or an answer."""
    if route.kind is not RouteKind.stream:
        return route.timeout_ms / _MS_PER_S
    waits_s = max(
        _PATIENCE_S,
        _PATIENCE_TARGETS * route.target_ms / _MS_PER_S,
        _PATIENCE_GAPS * route.max_gap_ms / _MS_PER_S,
    )
    return waits_s * _PATIENCE_SHARE
