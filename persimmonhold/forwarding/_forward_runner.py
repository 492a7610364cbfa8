"""Runs one forwarded request from its arrival to its end.

Invariants: a request that may not be repeated is sent again only with
evidence that it did not run; a refusal that states that the request did not
run is sent only with such evidence; a complete response of an upstream reaches
the caller, unless a repeated attempt got a better one or its status would state
without proof that the request did not run.
"""

import asyncio
from typing import TYPE_CHECKING, Final, final

import msgspec

from persimmonhold.fleet import (
    AttemptEnd,
    RefuseRequest,
    SendRequest,
    refuse_if_stopping,
)
from persimmonhold.forwarding._attempt_race import AttemptRace, RaceOutcome
from persimmonhold.forwarding._attempt_result import AttemptResult
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.forwarding._forward_response_writer import (
    ForwardResponseWriter,
)
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.forwarding._refusal import (
    build_refusal_headers,
    find_refusal_status,
)
from persimmonhold.forwarding._relay_result import RelayEnd, RelayResult
from persimmonhold.forwarding._request_relay import RequestRelay
from persimmonhold.forwarding._request_state import RequestState
from persimmonhold.observability import log_event, metric
from persimmonhold.reach import OUT_OF_REACH
from persimmonhold.routes import RouteKind
from persimmonhold.web import Exchange

if TYPE_CHECKING:
    from persimmonhold.quota import CreditSpending

_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
_TIMEOUT_RETRY_AFTER_S: Final = 0.3
# A new fleet controller has the reports of all entries within this time.
_UNKNOWN_STREAM_RETRY_AFTER_S: Final = 1.0
# An entry that cannot tell whether a key is valid has new proof by then.
_NO_KEY_RETRY_AFTER_S: Final = 0.5
# Upstreams are probed at this interval.
_OUT_OF_REACH_RETRY_AFTER_S: Final = 0.5
_MS_PER_S: Final = 1000
# Ends of relays after which another entry may have run the request.
_TAKEN: Final = frozenset((RelayEnd.delivered, RelayEnd.failed))
# Ends of attempts that wrote nothing to the upstream.
_UNSENT: Final = frozenset((
    AttemptEnd.unreachable,
    AttemptEnd.unsent,
    AttemptEnd.limited,
    AttemptEnd.spared,
    AttemptEnd.withheld,
))


@final
class ForwardRunner:
    """Runs the attempts of one request, and ends its response to the caller.

    It runs in the task of the caller's connection, which is cancelled when the
    caller disconnects. `state` is what its attempts have in common.
    `time_limit` cancels the attempts when it expires, and `time_over_reason`
    tells why. `unsent_credit` is what the request has spent of the limit of its
    workspace, until it is sent. `was_relayed` tells that other entries ran it,
    which count it as well.
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
        self.unsent_credit: CreditSpending | None = None
        self.time_limit = asyncio.timeout(None)
        self.time_over_reason = 'time_over'
        self.was_relayed = False

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

    def refuse_if_withdrawn(self) -> None:
        """Refuse the request if it waits, and no workspace holds its key."""
        refusal = self._check_key()
        if refusal is not None:
            self.services.hub.deliver((refusal,))

    async def _run_attempts(self) -> None:
        """Run attempts until one ends the request or it is refused.

        If no upstream is in reach, another entry runs them. One that is
        received too late in a planned stop waits for nothing.
        """
        hub = self.services.hub
        refusal = refuse_if_stopping(
            hub.dispatcher, self.request.dispatch_request, hub.clock()
        )
        if refusal is not None:
            self._refuse(refusal)
            return
        if self.state.is_out_of_reach():
            await self._relay()
            return
        refusal = await self._run_own_attempts()
        if refusal is not None and self.state.is_out_of_reach():
            await self._relay()
        elif refusal is not None:
            self._refuse(refusal)

    async def _run_own_attempts(self) -> RefuseRequest | None:
        """Run attempts at upstreams; return the refusal unless one ended it."""
        if not await self._prepare():
            return None
        action = await self.services.hub.submit_request(
            self.request.dispatch_request
        )
        while isinstance(action, SendRequest):
            if self._refuse_if_quarantined() or self._refuse_if_no_key():
                return None
            self.services.hub.begin_trial(self.request.dispatch_request)
            outcome = await self._run_race(action)
            if isinstance(outcome, RefuseRequest):
                return outcome
            if self._handle_attempt_result(outcome) or self._refuse_if_no_key():
                return None
            if self.state.is_out_of_reach():
                return _build_out_of_reach_refusal(self.services, self.request)
            self.last_attempt_end = AttemptEnd.cancelled
            action = await self.services.hub.retry_request(
                self.state.number, outcome.end
            )
        return action

    async def _relay(self) -> None:
        """Have another entry run the request; refuse it if none can.

        One that another entry has relayed is not relayed again.
        """
        self.services.hub.finish_request(
            self.state.number, self.last_attempt_end
        )
        if not self.request.may_be_relayed or self.response_writer.has_begun:
            self._refuse(
                _build_out_of_reach_refusal(self.services, self.request)
            )
        elif not self._refuse_if_quarantined() and not self._refuse_if_no_key():
            self.was_relayed = True
            result = await RequestRelay(self.services, self.state).run()
            self.was_relayed = result.end in _TAKEN
            self._end_relayed(result)

    def _end_relayed(self, result: RelayResult) -> None:
        """End the request as the other entry did."""
        if result.end is RelayEnd.delivered:
            self.response_writer.outcome = 'relayed'
        elif result.end is RelayEnd.unable:
            self._refuse(
                _build_out_of_reach_refusal(self.services, self.request)
            )
        elif result.end is RelayEnd.failed or self.state.may_have_run:
            self._end_failed('upstream_failed')
        else:
            self.response_writer.write_refusal(
                result.status, result.reason, result.headers
            )

    async def _prepare(self) -> bool:
        """Tell whether the request may be dispatched; refuse it if not."""
        if self._refuse_if_quarantined() or not await self._find_build():
            return False
        return not self._refuse_if_no_key() and await self._obtain_credit()

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

    async def _run_race(self, action: SendRequest) -> RaceOutcome:
        """Run an attempt; the credit stays spent if it was sent."""
        credit = self.unsent_credit
        self.unsent_credit = None
        outcome = await AttemptRace(self.state, action).run()
        if not self.state.may_have_run and _is_unsent(outcome):
            self.unsent_credit = credit
        return outcome

    async def _obtain_credit(self) -> bool:
        """Spend credit of the workspace; refuse the request if there is none.

        It spends once, whatever attempts follow, or ran at the entry that
        relayed the request.
        """
        request = self.request.dispatch_request
        if not request.workspace or self.request.earlier_runs:
            return True
        outcome = await self.services.find_quota_client().obtain_credit(request)
        if isinstance(outcome, RefuseRequest):
            self._refuse(outcome)
            return False
        self.unsent_credit = outcome
        return True

    def _refuse_if_quarantined(self) -> bool:
        """Refuse the request if its prompt is quarantined; tell whether."""
        refusal = self.services.hub.build_quarantine_refusal(
            self.request.dispatch_request
        )
        if refusal is not None:
            self._refuse(refusal)
        return refusal is not None

    def _refuse_if_no_key(self) -> bool:
        """Refuse the request if no workspace holds its key; tell whether.

        Otherwise it goes on in the name of the workspace that holds it now.
        """
        refusal = self._check_key()
        if refusal is not None:
            self._refuse(refusal)
        return refusal is not None

    def _check_key(self) -> RefuseRequest | None:
        """Check the key by the document in force; return the refusal or None.

        Records which workspace holds it, as a key may have been moved.
        """
        verdict = self.services.keys.check_request(self.request)
        request = self.request.dispatch_request
        if verdict.refusal:
            return RefuseRequest(
                number=request.number,
                reason=verdict.refusal,
                retry_after_s=_NO_KEY_RETRY_AFTER_S,
                waited_s=self.services.hub.clock() - request.arrived_at,
            )
        if verdict.workspace_name != request.workspace:
            self.state.request = msgspec.structs.replace(
                self.request,
                dispatch_request=msgspec.structs.replace(
                    request, workspace=verdict.workspace_name
                ),
            )
        return None

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
        status = find_refusal_status(action.reason)
        headers = build_refusal_headers(
            self.services.dialect, status, action.retry_after_s
        )
        self.response_writer.write_refusal(status, action.reason, headers)

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
            workspace=self.request.dispatch_request.workspace,
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
        """Return unspent credit; log the end of the request and count it."""
        if self.unsent_credit is not None:
            self.services.find_quota_client().return_credit(self.unsent_credit)
        dispatch_request = self.request.dispatch_request
        outcome = self.response_writer.settle_outcome()
        total_s = self.services.hub.clock() - dispatch_request.arrived_at
        first_s = max(
            0, self.response_writer.first_write_at - dispatch_request.arrived_at
        )
        self.services.metrics.increment(
            metric.REQUESTS,
            service_class=dispatch_request.route.kind.value,
            outcome=outcome,
        )
        self._count_for_workspace()
        log_event(
            'request',
            request_id=dispatch_request.profile.request_id,
            route=dispatch_request.route.name,
            workspace=dispatch_request.workspace,
            model=dispatch_request.profile.model,
            adapter=dispatch_request.profile.adapter,
            outcome=outcome,
            closed_by=self.response_writer.exchange.close_cause or '',
            status=self.response_writer.status,
            runs=self.state.run_count,
            from_entry=self.request.is_relayed,
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

    def _count_for_workspace(self) -> None:
        """Count the request and its tokens for the workspace of its key."""
        dispatch_request = self.request.dispatch_request
        workspace = dispatch_request.workspace
        if not workspace:
            return
        profile = dispatch_request.profile
        tokens = profile.prompt_tokens + profile.output_tokens
        own_runs = self.state.run_count - self.request.earlier_runs
        if own_runs and not self.was_relayed:
            self.services.hub.usage_meter.record_request(workspace, tokens)
        metrics = self.services.metrics
        metrics.increment(
            metric.WORKSPACE_REQUESTS,
            workspace=workspace,
            outcome=self.response_writer.outcome,
        )
        metrics.increment(metric.WORKSPACE_TOKENS, tokens, workspace=workspace)


def _build_out_of_reach_refusal(
    services: ForwardServices, forward_request: ForwardRequest
) -> RefuseRequest:
    """Return the refusal of a request that no entry in reach can run."""
    request = forward_request.dispatch_request
    rng = services.hub.dispatcher.rng
    return RefuseRequest(
        number=request.number,
        reason=OUT_OF_REACH,
        retry_after_s=_OUT_OF_REACH_RETRY_AFTER_S * (1 + rng.random()),
        waited_s=services.hub.clock() - request.arrived_at,
    )


def _is_unsent(outcome: RaceOutcome) -> bool:
    """Tell whether an attempt ended before its request was sent."""
    return isinstance(outcome, AttemptResult) and outcome.end in _UNSENT
