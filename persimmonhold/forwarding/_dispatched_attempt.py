"""Prepares and runs an attempt that the dispatcher has assigned."""

import asyncio
from typing import Final, final

from persimmonhold.fleet import AttemptEnd, SendRequest, StatedLimit
from persimmonhold.forwarding._attempt_limits import AttemptLimits
from persimmonhold.forwarding._attempt_monitor import AttemptMonitor
from persimmonhold.forwarding._attempt_result import AttemptResult
from persimmonhold.forwarding._forward_attempt import (
    ForwardAttempt,
    build_spared_result,
)
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.forwarding._request_state import RequestState
from persimmonhold.forwarding._resumable_event_framer import (
    ResumableEventFramer,
)
from persimmonhold.observability import log_event

_MS_PER_S: Final = 1000
# Covers a round trip to the fleet controller and a connection attempt.
_PERMIT_VALIDITY_S: Final = 0.7


@final
class DispatchedAttempt:
    """One attempt: the adapter and the permit that it needs, and its run.

    What it shows of its request and of its upstream is recorded and logged when
    it ends, also if it is cancelled. `attempt` is None until it is sent.
    """

    __slots__ = (
        'action',
        'attempt',
        'event_framer',
        'monitor',
        'request',
        'state',
    )

    def __init__(
        self,
        state: RequestState,
        request: ForwardRequest,
        event_framer: ResumableEventFramer,
        action: SendRequest,
        monitor: AttemptMonitor,
    ) -> None:
        """Create an attempt at the upstream that the dispatcher chose."""
        self.state = state
        self.request = request
        self.event_framer = event_framer
        self.action = action
        self.monitor = monitor
        self.attempt: ForwardAttempt | None = None

    @property
    def has_response(self) -> bool:
        """Whether the head of a response has arrived."""
        return self.attempt is not None and not self.attempt.is_waiting

    async def run(self) -> AttemptResult:
        """Run the attempt, and tell how it ended."""
        result = await self._prepare_and_run()
        self.state.count_run(result)
        if self.attempt is not None:
            self._record_outcome(result)
        self._log(result)
        return result

    def supersede(self) -> None:
        """Fail the attempt, as another one goes on with the response."""
        if self.attempt is not None:
            self.attempt.supersede()

    async def _prepare_and_run(self) -> AttemptResult:
        """Load the adapter and request the permit if needed, then run it."""
        if self.action.needs_adapter and not await self._load_adapter():
            return AttemptResult(end=AttemptEnd.unsent, may_have_run=False)
        hub = self.state.services.hub
        limits = AttemptLimits(self.monitor)
        limit = hub.find_stated_limit(self.action.number)
        if limit is not None:
            asked_at = hub.clock()
            wait_s = await self._request_permit(limit)
            if wait_s:
                return _build_limited_result(limit, wait_s)
            limits.usable_until = asked_at + _PERMIT_VALIDITY_S
        process = hub.brittle.find_process(self.action.number)
        if process is not None:
            return await self._send_with_slot(process, limits)
        return await self._send_unless_spared(limits)

    async def _send_with_slot(
        self, process: tuple[str, int], limits: AttemptLimits
    ) -> AttemptResult:
        """Run the attempt with a slot of a brittle upstream."""
        services = self.state.services
        slots = services.fleet_client.slots
        request_id = next(services.fleet_client.request_ids)
        answer_s = await slots.ask(request_id, process)
        wait_s = services.hub.brittle.record_slot(self.action.number, answer_s)
        if wait_s:
            return AttemptResult(
                end=AttemptEnd.limited,
                may_have_run=False,
                detail=f'brittle, slot in {wait_s:.2f} s',
            )
        end = AttemptEnd.cancelled
        try:
            result = await self._send_unless_spared(limits)
            end = result.end
        finally:
            if answer_s is not None:
                slots.give_back_after(request_id, process, end)
        if end is AttemptEnd.full and answer_s is None:
            services.hub.brittle.record_unassigned_refusal(process[0])
        return result

    async def _send_unless_spared(self, limits: AttemptLimits) -> AttemptResult:
        """Run the attempt unless its upstream wants no new request by now."""
        hub = self.state.services.hub
        if not hub.sparing.accepts_sending(self.action.upstream.name):
            return build_spared_result()
        return await self._send(limits)

    async def _send(self, limits: AttemptLimits) -> AttemptResult:
        """Run the attempt at its upstream."""
        self.attempt = ForwardAttempt(
            self.state.services,
            self.request,
            self.state.response_writer,
            self.event_framer,
            self.action,
            limits,
        )
        try:
            return await self.attempt.run()
        except asyncio.CancelledError:
            # The caller has disconnected, the time is over, or another attempt
            # goes on with the response.
            self._record_cancelled(self.attempt)
            raise

    def _record_outcome(self, result: AttemptResult) -> None:
        """Record what the attempt shows of its request and of its upstream."""
        self.state.services.hub.record_prompt_outcome(
            self.action.upstream.process_key,
            self.request.dispatch_request.profile,
            result,
        )

    def _record_cancelled(self, attempt: ForwardAttempt) -> None:
        """Log a cancelled attempt, and count it if it may have run."""
        result = AttemptResult(
            end=AttemptEnd.cancelled,
            may_have_run=attempt.has_written,
            detail=attempt.stage,
            is_silent=attempt.is_waiting,
        )
        self._record_outcome(result)
        self.state.count_run(result)
        self._log(result)

    async def _request_permit(self, limit: StatedLimit) -> float:
        """Request a permit; return 0, or the seconds until there may be one."""
        services = self.state.services
        wait_s = await services.fleet_client.request_permit(limit)
        services.hub.record_permit(self.action.number, wait_s)
        return wait_s

    async def _load_adapter(self) -> bool:
        """Have the adapter of the request loaded; return whether it is."""
        services = self.state.services
        dispatch_request = self.request.dispatch_request
        is_ready = await services.fleet_client.request_adapter(
            dispatch_request.service,
            self.action.upstream.name,
            dispatch_request.profile.model,
            dispatch_request.profile.adapter,
        )
        if is_ready:
            services.hub.record_adapter_loaded(self.action.number)
        return is_ready

    def _log(self, result: AttemptResult) -> None:
        action = self.action
        profile = self.request.dispatch_request.profile
        log_event(
            'attempt',
            request_id=profile.request_id,
            workspace=self.request.dispatch_request.workspace,
            upstream=action.upstream.name,
            end=result.end.value,
            detail=result.detail,
            may_have_run=result.may_have_run,
            waited_ms=round(action.waited_s * _MS_PER_S, 1),
            expected_ms=round(action.expected_s * _MS_PER_S, 1),
            running=action.running,
            cached_tokens=action.cached_tokens,
            tokens_per_s=action.tokens_per_s,
            was_late=action.is_late,
            adapter_absent=action.needs_adapter,
            body_end=result.body_end,
            within_event=result.is_within_event,
            kept_closed=result.is_unanswered,
            requests_before=result.requests_before,
            build=action.upstream.build,
            begun_as=profile.begun_as,
        )
        if result.is_cut:
            # What an upstream was working on when it cut the connection.
            log_event(
                'attempt_cut',
                request_id=profile.request_id,
                upstream=action.upstream.name,
                streamed_s=result.streamed_s,
                prompt_parts=profile.prompt_parts,
                fingerprints=profile.fingerprints,
            )


def _build_limited_result(limit: StatedLimit, wait_s: float) -> AttemptResult:
    """Return the result of an attempt for which no permit was issued."""
    return AttemptResult(
        end=AttemptEnd.limited,
        may_have_run=False,
        detail=f'limit of {limit.per_s} a second, permit in {wait_s:.2f} s',
    )
