"""The HTTP interface of callers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeAlias, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.catalogue import (
    AdapterEntry,
    ModelEntry,
    ServiceEntry,
)
from persimmonhold.control.shell import ControlLink
from persimmonhold.entry._refusals import problem_document, refuse
from persimmonhold.entry._relay import Relay, end_to_end_headers
from persimmonhold.entry._request_context import RequestContext
from persimmonhold.failures import Ran, Refusal, RefusalReason
from persimmonhold.messages import prefix_hashes
from persimmonhold.observability import Metrics, metric
from persimmonhold.routing import AttemptOutcome, Router, RouteRequest
from persimmonhold.web import (
    REQUEST_ID,
    ClientRequest,
    Exchange,
    ExchangeHandler,
    Headers,
    Rejection,
    encode_headers,
)

_OK: Final = 200
_SERVICES: Final = '/services/'
_Route: TypeAlias = Callable[[RequestContext], Awaitable[None]]


@final
class EntryHandler(ExchangeHandler):
    """Serves callers from the view that the control link has."""

    def __init__(
        self,
        link: ControlLink,
        router: Router,
        metrics: Metrics,
        ttl_s: float,
    ) -> None:
        """Create the handler of one entry."""
        self._link = link
        self._router = router
        self._metrics = metrics
        self._ttl_s = ttl_s
        self._routes: dict[str, _Route] = {
            '/v1/chat/completions': self._generate,
            '/v1/completions': self._generate,
            '/v1/entries': self._show_entries,
            '/v1/models': self._show_models,
            '/healthz': self._show_health,
            '/readyz': self._show_health,
            '/metrics': self._show_metrics,
        }

    async def serve(self, exchange: Exchange) -> None:
        """Dispatch by path."""
        context = RequestContext(exchange)
        path = exchange.head.path
        route = self._routes.get(path)
        if route:
            await route(context)
        elif path.startswith(_SERVICES):
            await self._call(context)
        else:
            await self._refuse(context, RefusalReason.unknown_path)

    def reject(self, status: int) -> Rejection:
        """Return the problem document of a request that is no HTTP."""
        refusal = Refusal(reason=RefusalReason.malformed_request, ran=Ran.no)
        return Rejection(status=status, body=problem_document(refusal, ''))

    async def _generate(self, context: RequestContext) -> None:
        body = await context.exchange.read_body()
        if isinstance(body, Failed):
            await self._refuse(context, RefusalReason.body_too_large)
            return
        document = _decode_object(body.unwrap())
        if document is None:
            await self._refuse(context, RefusalReason.malformed_request)
            return
        entry = self._link.view.catalogue.find(str(document.get('model')))
        if not isinstance(entry, (ModelEntry, AdapterEntry)):
            await self._refuse(context, RefusalReason.unknown_model)
            return
        prompt = str(document.get('messages', document.get('prompt', '')))
        wanted = RouteRequest(
            target=entry.name,
            service_class=entry.service_class,
            prefixes=prefix_hashes(entry.name, prompt),
        )
        await self._dispatch(context, wanted, body.unwrap())

    async def _call(self, context: RequestContext) -> None:
        path = context.exchange.head.path[len(_SERVICES) :]
        name, _, rest = path.partition('/')
        body = await context.exchange.read_body()
        if isinstance(body, Failed):
            await self._refuse(context, RefusalReason.body_too_large)
            return
        entry = self._link.view.catalogue.find(name)
        if not isinstance(entry, ServiceEntry):
            await self._refuse(context, RefusalReason.unknown_service)
            return
        wanted = RouteRequest(
            target=name,
            service_class=entry.service_class,
            is_service=True,
        )
        await self._dispatch(context, wanted, body.unwrap())

    async def _dispatch(
        self,
        context: RequestContext,
        wanted: RouteRequest,
        body: bytes,
    ) -> None:
        now = asyncio.get_running_loop().time()
        route = self._router.choose(wanted, now)
        if route is None:
            await self._refuse(context, RefusalReason.no_upstream)
            return
        head = context.exchange.head
        target = head.raw_path
        if wanted.is_service:
            target = target.removeprefix(f'{_SERVICES}{wanted.target}')
        request = ClientRequest(
            method=head.method,
            target=target or '/',
            headers=_upstream_headers(context),
            body=body,
        )
        attempt = self._router.attempt_started(route, wanted, now)
        relayed = await Relay(context, route).run(request)
        ok = not isinstance(relayed, Failed)
        outcome = AttemptOutcome.completed if ok else AttemptOutcome.broken
        now = asyncio.get_running_loop().time()
        self._router.attempt_ended(attempt, outcome, now)
        self._metrics.increment(
            metric.REQUESTS,
            service_class=wanted.service_class,
            outcome='answered' if ok else 'refused',
        )
        if isinstance(relayed, Failed):
            await refuse(
                context.exchange,
                relayed.failure(),
                context.request_id,
                self._metrics,
                wanted.service_class,
            )

    async def _show_health(self, context: RequestContext) -> None:
        await self._respond(context, {'status': 'ok'})

    async def _show_entries(self, context: RequestContext) -> None:
        view = self._link.view
        entries = [
            {
                'address': vm.callers,
                'failure_domain': vm.failure_domain,
                'weight': vm.weight,
            }
            for vm in view.vms
            if vm.callers and not vm.draining
        ]
        document = {
            'revision': view.index,
            'ttl_s': self._ttl_s,
            'entries': entries,
        }
        await self._respond(context, document)

    async def _show_models(self, context: RequestContext) -> None:
        catalogue = self._link.view.catalogue
        models = [
            {'id': name, 'object': 'model', 'owned_by': stored.entry.owner}
            for name, stored in sorted(catalogue.entries.items())
            if isinstance(stored.entry, (ModelEntry, AdapterEntry))
        ]
        await self._respond(context, {'object': 'list', 'data': models})

    async def _show_metrics(self, context: RequestContext) -> None:
        revision = self._link.view.catalogue.revision
        self._metrics.set_gauge(metric.REVISION, revision)
        accepts = context.exchange.head.header('accept')
        body, media_type = self._metrics.render(accepts)
        await context.exchange.respond(_OK, body, media_type)

    async def _respond(
        self,
        context: RequestContext,
        document: object,
    ) -> None:
        headers = encode_headers({REQUEST_ID: context.request_id})
        await context.exchange.respond_json(_OK, document, headers)

    async def _refuse(
        self,
        context: RequestContext,
        reason: RefusalReason,
    ) -> None:
        refusal = Refusal(reason=reason, ran=Ran.no)
        await refuse(
            context.exchange,
            refusal,
            context.request_id,
            self._metrics,
        )


def _decode_object(body: bytes) -> dict[str, Any] | None:
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.DecodeError:
        return None


def _upstream_headers(context: RequestContext) -> Headers:
    received = end_to_end_headers(context.exchange.head.headers)
    own = encode_headers({REQUEST_ID: context.request_id})
    return (*received, *own)
