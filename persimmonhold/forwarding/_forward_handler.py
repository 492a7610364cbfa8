"""Serves the requests of callers that are forwarded by their route."""

from types import MappingProxyType
from typing import Final, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.failures import FailureKind
from persimmonhold.fleet import DispatchRequest, RequestProfile
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.forwarding._forward_response_writer import (
    ForwardResponseWriter,
)
from persimmonhold.forwarding._forward_runner import ForwardRunner
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.forwarding._refusal import (
    build_refusal_headers,
    find_refusal_status,
)
from persimmonhold.forwarding._relay_head import (
    is_relayed,
    read_earlier_runs,
    restore_caller_head,
)
from persimmonhold.observability import log_event, metric
from persimmonhold.quarantine import fingerprint_request
from persimmonhold.routes import (
    ForwardRoute,
    KeyVerdict,
    RouteKind,
    RouteTable,
    fingerprint_key,
)
from persimmonhold.web import (
    RELAYED_FOR_HEADER,
    Exchange,
    ExchangeHandler,
    Rejection,
    RequestHead,
)

_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_TIMEOUT: Final = 408
_TOO_LARGE: Final = 413
_UNAVAILABLE: Final = 503
_RETRY_AFTER_S: Final = 0.5  # suggested to callers whose request was refused
# Control has a leader again 1 to 2 s after a start.
_ISOLATED_RETRY_AFTER_S: Final = 1.5
# Spreads the retries of requests that were refused together.
_MAX_RETRY_JITTER: Final = 0.5
_MS_PER_S: Final = 1000
# A caller leaves a stream that sent no event for the longest of 2 s, four
# latency targets and eight event gaps.
_MIN_CALLER_WAIT_S: Final = 2.0
_CALLER_WAIT_TARGETS: Final = 4.0
_CALLER_WAIT_GAPS: Final = 8.0
# Share of that time which the entry plans to use; the rest is left for the
# transmission of the first event.
_CALLER_WAIT_SHARE: Final = 0.9
_BODY_FAILURE_STATUSES: Final = MappingProxyType({
    FailureKind.timed_out: _TIMEOUT,
    FailureKind.refused: _TOO_LARGE,
})


@final
class ForwardHandler(ExchangeHandler):
    """Finds the route of each request, and runs the request or refuses it."""

    def __init__(self, services: ForwardServices) -> None:
        """Create the handler of an entry."""
        self.services = services
        self.running_count = 0
        self.runners: set[ForwardRunner] = set()
        services.routes.subscribe(self._refuse_withdrawn)

    @property
    def route_table(self) -> RouteTable:
        """The route table, as of its last refresh."""
        return self.services.routes.table

    async def serve(self, exchange: Exchange) -> None:
        """Run a request, or refuse one that cannot be forwarded."""
        self.running_count += 1
        try:
            await self._match_and_forward(exchange)
        finally:
            self.running_count -= 1

    def end_requests(self, *, has_begun: bool) -> None:
        """End all requests as the process stops.

        Unless `has_begun`, those whose response has begun go on.
        """
        for runner in tuple(self.runners):
            runner.end_for_stop(has_begun=has_begun)

    def build_rejection(self, status: int) -> Rejection:
        """Return the response to a request that cannot be parsed."""
        return Rejection(status=status)

    def refresh_route_table(self) -> RouteTable:
        """Return the route table of the current view, rebuilt if it changed."""
        return self.services.routes.refresh()

    def _refuse_withdrawn(self) -> None:
        """Refuse the waiting requests whose key was withdrawn."""
        for runner in tuple(self.runners):
            runner.refuse_if_withdrawn()

    async def _match_and_forward(self, exchange: Exchange) -> None:
        """Find the route of a request and forward it, or refuse it."""
        arrived_at = self.services.hub.clock()
        table = self.refresh_route_table()
        is_allowed = self.services.link.can_serve
        if not table.document.version or not is_allowed:
            retry_after_s = _ISOLATED_RETRY_AFTER_S * self._retry_jitter()
            self._refuse(exchange, _UNAVAILABLE, 'isolated', retry_after_s)
            return
        head = exchange.head
        route = table.find_route(head.header('host'), head.raw_path)
        if route is None:
            self._refuse(exchange, _NOT_FOUND, 'no_route')
        else:
            await self._check_key_and_forward(exchange, route, arrived_at)

    async def _check_key_and_forward(
        self, exchange: Exchange, route: ForwardRoute, arrived_at: float
    ) -> None:
        """Forward a request, or refuse it for its key or its headers."""
        keys = self.services.keys
        key_hash = keys.hash_key(route, exchange.head)
        verdict = keys.check_route(route, key_hash)
        if verdict.refusal:
            self._refuse_key(exchange, route, key_hash, verdict.refusal)
            return
        profile = self.services.dialect.decode_profile(
            self._read_caller_head(exchange)
        )
        if isinstance(profile, Failed):
            self._refuse(
                exchange,
                _BAD_REQUEST,
                'malformed_request',
                workspace=verdict.workspace_name,
            )
            return
        dispatch_request = self._build_dispatch_request(
            route, profile.unwrap(), verdict, arrived_at
        )
        await self._check_model_and_forward(
            exchange, dispatch_request, key_hash
        )

    async def _check_model_and_forward(
        self,
        exchange: Exchange,
        dispatch_request: DispatchRequest,
        key_hash: str,
    ) -> None:
        """Forward a request, or refuse it if its model is not configured."""
        spec = self.route_table.services.get(dispatch_request.service)
        engine = spec.engine if spec else None
        if (
            engine is None
            or engine.find_model(dispatch_request.profile.model) is not None
        ):
            await self._read_body_and_run(exchange, dispatch_request, key_hash)
        else:
            self._refuse(
                exchange,
                _UNAVAILABLE,
                'unknown_model',
                _RETRY_AFTER_S,
                workspace=dispatch_request.workspace,
            )

    async def _read_body_and_run(
        self,
        exchange: Exchange,
        dispatch_request: DispatchRequest,
        key_hash: str,
    ) -> None:
        """Read the body and run the request, or refuse an unreadable body."""
        body = await exchange.read_body()
        if isinstance(body, Failed):
            status = _BODY_FAILURE_STATUSES.get(
                body.failure().kind, _UNAVAILABLE
            )
            self._refuse(
                exchange,
                status,
                'body',
                _RETRY_AFTER_S,
                workspace=dispatch_request.workspace,
            )
            return
        head = self._read_caller_head(exchange)
        request = ForwardRequest(
            dispatch_request=_add_fingerprints(
                msgspec.structs.replace(
                    dispatch_request, received_at=self.services.hub.clock()
                ),
                head,
                body.unwrap(),
            ),
            head=head,
            body=body.unwrap(),
            key_hash=key_hash,
            is_relayed=head is not exchange.head,
            may_be_relayed=not exchange.head.header(RELAYED_FOR_HEADER),
            earlier_runs=(
                0 if head is exchange.head else read_earlier_runs(exchange.head)
            ),
        )
        runner = ForwardRunner(self.services, request, exchange)
        self.runners.add(runner)
        try:
            await runner.run()
        finally:
            self.runners.discard(runner)

    def _read_caller_head(self, exchange: Exchange) -> RequestHead:
        """Return the head that the caller sent, maybe to another entry."""
        if is_relayed(exchange.head, self.services.link.view.vms):
            return restore_caller_head(exchange.head)
        return exchange.head

    def _retry_jitter(self) -> float:
        """Return a random factor that spreads the retries of callers."""
        return 1 + _MAX_RETRY_JITTER * self.services.hub.dispatcher.rng.random()

    def _read_request_id(self, exchange: Exchange) -> str:
        """Return the id that the caller chose; empty if a header is wrong."""
        profile = self.services.dialect.decode_profile(exchange.head)
        if isinstance(profile, Failed):
            return ''
        return profile.unwrap().request_id

    def _build_dispatch_request(
        self,
        route: ForwardRoute,
        profile: RequestProfile,
        verdict: KeyVerdict,
        arrived_at: float,
    ) -> DispatchRequest:
        hub = self.services.hub
        service = self._choose_service(route)
        spec = self.route_table.services.get(service)
        is_engine = spec is not None and spec.engine is not None
        if not is_engine:
            # Callers may name any model at a service that has none; requests
            # are queued and counted by model.
            profile = msgspec.structs.replace(profile, model='', adapter='')
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
            caller_waits_until=min(ends_at, arrived_at + _caller_wait_s(route)),
            ends_at=ends_at,
            is_engine=is_engine,
            workspace=verdict.workspace_name,
            workspace_priority=verdict.priority,
        )

    def _choose_service(self, route: ForwardRoute) -> str:
        """Choose one of the services of a route at random by weight."""
        if len(route.targets) == 1:
            return route.targets[0].service
        rng = self.services.hub.dispatcher.rng
        names = [target.service for target in route.targets]
        weights = [target.weight for target in route.targets]
        return rng.choices(names, weights)[0]

    def _refuse_key(
        self,
        exchange: Exchange,
        route: ForwardRoute,
        key_hash: str,
        reason: str,
    ) -> None:
        """Refuse a request whose key is not accepted; log its fingerprint."""
        self.services.metrics.increment(
            metric.REFUSALS,
            reason=reason,
            service_class=route.kind.value,
            ran='no',
        )
        self._refuse(
            exchange,
            find_refusal_status(reason),
            reason,
            _RETRY_AFTER_S * self._retry_jitter(),
            key=fingerprint_key(key_hash),
        )

    def _refuse(
        self,
        exchange: Exchange,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        **details: str,
    ) -> None:
        """Refuse a request before it reaches the dispatcher.

        Bursts of refusals for the same reason are sampled in the log. The
        logged path has no query, as some callers put keys there.
        """
        now = self.services.hub.clock()
        left_out = self.services.sampler.admit(reason, now)
        if left_out is not None:
            log_event(
                'refused',
                request_id=self._read_request_id(exchange),
                target=exchange.head.raw_path,
                status=status,
                reason=reason,
                version=self.route_table.document.version,
                left_out=left_out,
                workspace=details.get('workspace', ''),
                key=details.get('key', ''),
            )
        headers = build_refusal_headers(
            self.services.dialect, status, retry_after_s
        )
        response = ForwardResponseWriter(exchange, self.services.hub.clock)
        response.write_refusal(status, reason, headers)


def _add_fingerprints(
    dispatch_request: DispatchRequest, head: RequestHead, body: bytes
) -> DispatchRequest:
    profile = dispatch_request.profile
    fingerprints = fingerprint_request(
        head.method, head.header('host'), head.target, profile.caller, body
    )
    return msgspec.structs.replace(
        dispatch_request,
        profile=msgspec.structs.replace(profile, fingerprints=fingerprints),
    )


def _caller_wait_s(route: ForwardRoute) -> float:
    """Return the seconds that a caller is expected to wait for an event.

    On a route without streams, it is the wait for the complete response.
    """
    if route.kind is not RouteKind.stream:
        return route.timeout_ms / _MS_PER_S
    wait_s = max(
        _MIN_CALLER_WAIT_S,
        _CALLER_WAIT_TARGETS * route.target_ms / _MS_PER_S,
        _CALLER_WAIT_GAPS * route.max_gap_ms / _MS_PER_S,
    )
    return wait_s * _CALLER_WAIT_SHARE
