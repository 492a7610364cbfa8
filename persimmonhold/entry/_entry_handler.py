"""The HTTP interface for callers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias, final

from returns.result import Failure as Failed
from returns.result import Result

from persimmonhold.catalogue import AdapterEntry, ModelEntry
from persimmonhold.directory import Directory, Drain, DrainPhase
from persimmonhold.entry._entry_services import EntryServices
from persimmonhold.entry._parsed_request import ParsedRequest
from persimmonhold.entry._refusals import (
    build_problem_document,
    build_refusal_headers,
    count_refusal,
    send_refusal,
)
from persimmonhold.entry._request_context import (
    RequestContext,
    generate_request_id,
)
from persimmonhold.entry._request_reader import SERVICES_PREFIX, RequestReader
from persimmonhold.entry._request_runner import RequestRunner
from persimmonhold.failures import Ran, Refusal, RefusalReason
from persimmonhold.observability import LogLevel, log_event, metric
from persimmonhold.web import (
    REQUEST_ID_HEADER,
    Exchange,
    ExchangeHandler,
    Rejection,
    encode_headers,
)

_OK: Final = 200
_TOO_LARGE: Final = 413
_INTERNAL_ERROR: Final = 500
_UNAVAILABLE: Final = 503
_RETRY_AFTER_S: Final = 1.0
_PathHandler: TypeAlias = Callable[[RequestContext], Awaitable[None]]


@final
class EntryHandler(ExchangeHandler):
    """Serves callers by the newest control view that this VM holds."""

    def __init__(
        self,
        services: EntryServices,
        directory: Directory,
        drain: Drain,
    ) -> None:
        """Create the handler of one entry."""
        self._services = services
        self._directory = directory
        self._drain = drain
        self._reader = RequestReader(services.link)
        self._runners: dict[asyncio.Task[None], RequestRunner] = {}
        self._handlers_by_path: dict[str, _PathHandler] = {
            '/v1/chat/completions': self._serve_generation,
            '/v1/completions': self._serve_generation,
            '/v1/entries': self._show_entries,
            '/v1/models': self._show_models,
            '/healthz': self._show_health,
            '/readyz': self._show_readiness,
            '/metrics': self._show_metrics,
        }

    @property
    def running_request_count(self) -> int:
        """The number of running requests, including detached ones.

        A detached request continues after its caller has disconnected.
        """
        return len(self._runners)

    async def serve(self, exchange: Exchange) -> None:
        """Handle one request by its path."""
        context = RequestContext(exchange)
        path = exchange.head.path
        route = self._handlers_by_path.get(path)
        if route:
            await route(context)
        elif path.startswith(SERVICES_PREFIX):
            await self._serve_service_call(context)
        else:
            self._refuse(context, _build_refusal(RefusalReason.unknown_path))

    def build_rejection(self, status: int) -> Rejection:
        """Return the problem document for a request that is not valid HTTP."""
        refusal = _refusal_for_status(status)
        request_id = generate_request_id()
        count_refusal(refusal, self._services.metrics, '')
        return Rejection(
            status=status if status == _INTERNAL_ERROR else refusal.status,
            body=build_problem_document(refusal, request_id),
            headers=build_refusal_headers(refusal, request_id),
        )

    async def wait_for_requests(self) -> None:
        """Wait until no request is running, detached ones included."""
        while self._runners:
            await asyncio.wait(tuple(self._runners))

    def end_requests(self, *, is_final: bool) -> None:
        """Answer all requests, as a time limit of the planned stop is over.

        Unless `is_final`, responses that have begun go on.
        """
        for task, runner in tuple(self._runners.items()):
            actions = runner.machine.stop_reached(is_final=is_final)
            runner.perform_actions(actions)
            if is_final:
                task.cancel()

    async def _serve_generation(self, context: RequestContext) -> None:
        if context.exchange.head.method != 'POST':
            self._refuse(
                context, _build_refusal(RefusalReason.malformed_request)
            )
            return
        unavailable = self._availability_refusal()
        if unavailable is not None:
            self._refuse(context, unavailable)
            return
        await self._run_request(
            context, await self._reader.read_generation_request(context)
        )

    async def _serve_service_call(self, context: RequestContext) -> None:
        unavailable = self._availability_refusal()
        if unavailable is not None:
            self._refuse(context, unavailable)
            return
        await self._run_request(
            context, await self._reader.read_service_call(context)
        )

    async def _run_request(
        self,
        context: RequestContext,
        request_result: Result[ParsedRequest, Refusal],
    ) -> None:
        if isinstance(request_result, Failed):
            self._refuse(context, request_result.failure())
            return
        if _now() >= self._drain.schedule.answers_at:
            self._refuse(context, _build_refusal(RefusalReason.draining))
            return
        runner = RequestRunner(
            self._services, request_result.unwrap(), context.exchange
        )
        task = asyncio.get_running_loop().create_task(runner.run())
        self._runners[task] = runner
        task.add_done_callback(self._handle_request_end)
        try:
            await runner.caller_response.ended.wait()
        except asyncio.CancelledError:
            runner.handle_caller_disconnect()
            raise

    def _handle_request_end(self, task: asyncio.Task[None]) -> None:
        self._runners.pop(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            log_event('request_failed', LogLevel.error, error=repr(error))

    def _availability_refusal(self) -> Refusal | None:
        """Return why this entry refuses new requests, or None."""
        if self._drain.phase not in {DrainPhase.serving, DrainPhase.leaving}:
            return _build_refusal(RefusalReason.draining)
        if not self._services.link.can_serve:
            return _build_refusal(RefusalReason.isolated)
        return None

    async def _show_health(self, context: RequestContext) -> None:
        await self._respond(context, {'status': 'ok'})

    async def _show_readiness(self, context: RequestContext) -> None:
        unavailable = self._availability_refusal()
        if unavailable is None and self._drain.phase is DrainPhase.leaving:
            unavailable = _build_refusal(RefusalReason.draining)
        if unavailable is None:
            await self._respond(context, {'status': 'ok'})
        else:
            reason = {'status': unavailable.reason.value}
            await self._respond(context, reason, _UNAVAILABLE)

    async def _show_entries(self, context: RequestContext) -> None:
        failure_domain = context.exchange.head.query.get('failure_domain', '')
        link = self._services.link
        response = self._directory.list_entries(
            link.view, link.live_vms, failure_domain
        )
        await self._respond(context, response)

    async def _show_models(self, context: RequestContext) -> None:
        if not self._services.link.can_serve:
            # The catalogue view of an isolated entry may lack newer entries.
            self._refuse(context, _build_refusal(RefusalReason.isolated))
            return
        catalogue = self._services.link.view.catalogue
        models = [
            {'id': name, 'object': 'model', 'owned_by': stored.entry.owner}
            for name, stored in sorted(catalogue.entries.items())
            if isinstance(stored.entry, (ModelEntry, AdapterEntry))
        ]
        await self._respond(context, {'object': 'list', 'data': models})

    async def _show_metrics(self, context: RequestContext) -> None:
        self._set_gauges()
        accepted_types = context.exchange.head.header('accept')
        body, media_type = self._services.metrics.render(accepted_types)
        headers = encode_headers({REQUEST_ID_HEADER: context.request_id})
        await context.exchange.respond(_OK, body, media_type, headers)

    def _set_gauges(self) -> None:
        metrics = self._services.metrics
        revision = self._services.link.view.catalogue.revision
        metrics.set_gauge(metric.CATALOGUE_REVISION, revision)
        dispatcher = self._services.hub.dispatcher
        for service_class, depth in dispatcher.queue_depths().items():
            metrics.set_gauge(
                metric.QUEUE_DEPTH,
                depth,
                service_class=service_class.value,
            )
        for service_class, running in dispatcher.in_flight_counts().items():
            metrics.set_gauge(
                metric.IN_FLIGHT,
                running,
                service_class=service_class.value,
            )

    async def _respond(
        self,
        context: RequestContext,
        document: object,
        status: int = _OK,
    ) -> None:
        headers = encode_headers({REQUEST_ID_HEADER: context.request_id})
        await context.exchange.respond_json(status, document, headers)

    def _refuse(self, context: RequestContext, refusal: Refusal) -> None:
        """Refuse a request before it reaches admission, and log the refusal."""
        log_event(
            'request',
            request_id=context.request_id,
            attempts=0,
            outcome=refusal.reason.value,
        )
        send_refusal(
            context.exchange,
            refusal,
            context.request_id,
            self._services.metrics,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()


def _build_refusal(reason: RefusalReason) -> Refusal:
    is_retryable = reason in {RefusalReason.draining, RefusalReason.isolated}
    return Refusal(
        reason=reason,
        ran=Ran.no,
        retry_after_s=_RETRY_AFTER_S if is_retryable else None,
    )


def _refusal_for_status(status: int) -> Refusal:
    if status == _TOO_LARGE:
        return Refusal(reason=RefusalReason.head_too_large, ran=Ran.no)
    if status == _INTERNAL_ERROR:
        return Refusal(reason=RefusalReason.upstream_failed, ran=Ran.unknown)
    return Refusal(reason=RefusalReason.malformed_request, ran=Ran.no)
