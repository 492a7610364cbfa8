"""Runs one forwarded request from its arrival to its end.

Invariants: a request that may not be repeated is sent again only with
evidence that it did not run; a refusal that states that the request did not
run is sent only with such evidence; a complete response of an upstream reaches
the caller, unless a repeated attempt got a better one or its status would state
without proof that the request did not run.
"""

import asyncio
from typing import Final, final

import msgspec

from persimmonhold.fleet import (
    AttemptEnd,
    RefuseRequest,
    SendRequest,
)
from persimmonhold.forwarding._attempt_race import AttemptRace
from persimmonhold.forwarding._attempt_result import AttemptResult
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.forwarding._forward_response_writer import (
    ForwardResponseWriter,
)
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.forwarding._request_state import RequestState
from persimmonhold.observability import log_event, metric
from persimmonhold.routes import RouteKind
from persimmonhold.web import Exchange

_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
_TIMEOUT_RETRY_AFTER_S: Final = 0.3
# A new fleet controller has the reports of all entries within this time.
_UNKNOWN_STREAM_RETRY_AFTER_S: Final = 1.0
_MS_PER_S: Final = 1000


@final
class ForwardRunner:
    """Runs the attempts of one request, and ends its response to the caller.

    It runs in the task of the caller's connection, which is cancelled when the
    caller disconnects. `state` is what its attempts have in common.
    `time_limit` cancels the attempts when it expires, and `time_over_reason`
    tells why.
    """

    def __init__(
        self,
        services: ForwardServices,
        request: ForwardRequest,
        exchange: Exchange,
    ) -> None:
        """Create the runner of a request that was read in full."""
        self.services = services
        self.response_writer = ForwardResponseWriter(
            exchange, services.hub.clock
        )
        self.state = RequestState(services, request, self.response_writer)
        self.last_attempt_end = AttemptEnd.cancelled
        self.time_limit = asyncio.timeout(None)
        self.time_over_reason = 'time_over'

    @property
    def request(self) -> ForwardRequest:
        """The request, as its current attempt was dispatched."""
        return self.state.request

    async def run(self) -> None:
        """Run the request until it ends or its deadline passes.

        Its end is logged and counted, also when this task is cancelled.
        """
        hub = self.services.hub
        left_s = self.request.dispatch_request.ends_at - hub.clock()
        self.time_limit = asyncio.timeout(max(0, left_s))
        try:
            async with self.time_limit:
                await self._run_attempts()
        except TimeoutError:
            self._end_timed_out()
        finally:
            hub.finish_request(self.state.number, self.last_attempt_end)
            self._record_end()

    def end_for_stop(self, *, has_begun: bool) -> None:
        """End the request now, as the process stops.

        Unless `has_begun`, one whose response has begun goes on.
        """
        if self.time_limit.when() is None or self.time_limit.expired():
            return
        if has_begun or not self.response_writer.has_begun:
            self.time_over_reason = 'stopping'
            self.time_limit.reschedule(asyncio.get_running_loop().time())

    async def _run_attempts(self) -> None:
        """Run attempts until one ends the request or it is refused."""
        if self._refuse_if_quarantined():
            return
        if not await self._find_build():
            return
        action = await self.services.hub.submit_request(
            self.request.dispatch_request
        )
        while isinstance(action, SendRequest):
            if self._refuse_if_quarantined():
                return
            self.services.hub.begin_trial(self.request.dispatch_request)
            outcome = await AttemptRace(self.state, action).run()
            if isinstance(outcome, RefuseRequest):
                action = outcome
                break
            if self._handle_attempt_result(outcome):
                return
            self.last_attempt_end = AttemptEnd.cancelled
            action = await self.services.hub.retry_request(
                self.state.number, outcome.end
            )
        self._refuse(action)

    async def _find_build(self) -> bool:
        """Have a stream that goes on run at the build that began it.

        Refuses one that began at a build that nobody knows.
        """
        request = self.request.dispatch_request
        if not request.profile.goes_on or request.route.kind is not (
            RouteKind.stream
        ):
            return True
        origin = await self.services.fleet_client.find_stream_origin(
            request.service, request.profile.begun_as
        )
        log_event(
            'stream_goes_on',
            request_id=request.profile.request_id,
            begun_as=request.profile.begun_as,
            service=None if origin is None else origin.service,
            build=None if origin is None else origin.build,
        )
        if origin is None:
            self._refuse(
                RefuseRequest(
                    number=request.number,
                    reason='unknown_stream',
                    retry_after_s=_UNKNOWN_STREAM_RETRY_AFTER_S,
                )
            )
            return False
        if origin.service in {one.service for one in request.route.targets}:
            request = msgspec.structs.replace(
                request, service=origin.service, build=origin.build
            )
            self.state.request = msgspec.structs.replace(
                self.request, dispatch_request=request
            )
        return True

    def _refuse_if_quarantined(self) -> bool:
        """Refuse the request if its prompt is quarantined; tell whether."""
        refusal = self.services.hub.build_quarantine_refusal(
            self.request.dispatch_request
        )
        if refusal is not None:
            self._refuse(refusal)
        return refusal is not None

    def _handle_attempt_result(self, result: AttemptResult) -> bool:
        """End the request if the result allows; tell whether it has ended.

        If not, the dispatcher is asked for another attempt.
        """
        self.last_attempt_end = result.end
        if result.is_delivered:
            return True
        if not result.may_have_run:
            return False
        # A complete response cannot continue a stream that has begun.
        if result.response is not None and not self.response_writer.has_begun:
            if (
                result.end is AttemptEnd.answered
                or not self.state.can_run_again
            ):
                self.response_writer.write_complete_response(
                    result.response.head, result.response.body
                )
                return True
            self.state.error_response = result.response
        if self.state.can_run_again:
            self.state.event_framer.discard_partial()
            return False
        self._end_failed(result.detail)
        return True

    def _refuse(self, action: RefuseRequest) -> None:
        """Refuse the request, or end it as failed if it may have run."""
        self.services.metrics.increment(
            metric.REFUSALS,
            reason=action.reason,
            service_class=self.request.dispatch_request.route.kind.value,
            ran='unknown' if self.state.may_have_run else 'no',
        )
        self._log_refusal(action)
        if self.state.may_have_run:
            self._end_failed(action.reason)
            return
        headers = self.services.dialect.build_refusal_headers(
            action.retry_after_s
        )
        self.response_writer.write_refusal(_UNAVAILABLE, action.reason, headers)

    def _end_failed(self, reason: str) -> None:
        """End a request that may have run without a successful response."""
        if self.response_writer.has_begun:
            self.response_writer.abort_response('stream_broken')
        elif self.state.error_response is None:
            headers = self.services.dialect.build_refusal_headers(None)
            self.response_writer.write_refusal(
                _BAD_GATEWAY, 'upstream_failed', headers
            )
        else:
            self.response_writer.write_complete_response(
                self.state.error_response.head, self.state.error_response.body
            )

    def _end_timed_out(self) -> None:
        """End a request whose time limit has expired."""
        reason = self.time_over_reason
        if self.response_writer.has_begun:
            self.response_writer.abort_response(reason)
            return
        if self.state.error_response is None:
            self._refuse_timed_out(reason)
        else:
            self._end_failed(reason)

    def _refuse_timed_out(self, reason: str) -> None:
        dialect = self.services.dialect
        if self.state.may_have_run:
            headers = dialect.build_refusal_headers(None)
            self.response_writer.write_refusal(
                _GATEWAY_TIMEOUT, reason, headers
            )
        else:
            headers = dialect.build_refusal_headers(_TIMEOUT_RETRY_AFTER_S)
            self.response_writer.write_refusal(_UNAVAILABLE, reason, headers)

    def _log_refusal(self, action: RefuseRequest) -> None:
        """Log a refusal; bursts of requests that did not run are sampled."""
        now = self.services.hub.clock()
        left_out: int | None = 0
        if not self.state.may_have_run:
            left_out = self.services.sampler.admit(action.reason, now)
        if left_out is None:
            return
        log_event(
            'turned_away',
            request_id=self.request.dispatch_request.profile.request_id,
            reason=action.reason,
            waited_ms=round(action.waited_s * _MS_PER_S, 1),
            line=action.queue_length,
            ahead=action.ahead,
            was_late=action.is_late,
            holders=action.holder_count,
            list_age_s=round(action.list_age_s, 2),
            retry_after_s=round(action.retry_after_s, 2),
            left_out=left_out,
        )

    def _record_end(self) -> None:
        """Log the end of the request, and count it in the metrics."""
        dispatch_request = self.request.dispatch_request
        total_s = self.services.hub.clock() - dispatch_request.arrived_at
        first_s = max(
            0, self.response_writer.first_write_at - dispatch_request.arrived_at
        )
        self.services.metrics.increment(
            metric.REQUESTS,
            service_class=dispatch_request.route.kind.value,
            outcome=self.response_writer.outcome,
        )
        log_event(
            'request',
            request_id=dispatch_request.profile.request_id,
            route=dispatch_request.route.name,
            model=dispatch_request.profile.model,
            adapter=dispatch_request.profile.adapter,
            outcome=self.response_writer.outcome,
            status=self.response_writer.status,
            runs=self.state.run_count,
            first_ms=round(first_s * _MS_PER_S, 1),
            longest_gap_ms=round(
                self.response_writer.longest_gap_s * _MS_PER_S, 1
            ),
            total_ms=round(total_s * _MS_PER_S, 1),
        )
        service_class = dispatch_request.route.kind.value
        if first_s:
            self.services.metrics.observe(
                metric.FIRST_TOKEN,
                first_s,
                service_class=service_class,
            )
        if self.response_writer.longest_gap_s:
            self.services.metrics.observe(
                metric.TOKEN_GAP,
                self.response_writer.longest_gap_s,
                service_class=service_class,
            )
