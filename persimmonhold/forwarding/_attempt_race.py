"""Runs an attempt, and a hedge beside it while its response pauses.

A hedge is a second attempt at another upstream. The first attempt is kept until
the hedge brings the next part of the response, as a sound upstream may pause
and go on, and the other one may be full, or pause too. Invariants: at most one
attempt writes to the caller, the other one is ended at once; at most one hedge
of a request is under way.
"""

import asyncio
from typing import Final, TypeAlias, final

import msgspec

from persimmonhold.fleet import (
    AttemptEnd,
    ForwardAction,
    RefuseRequest,
    SendRequest,
)
from persimmonhold.forwarding._attempt_monitor import AttemptMonitor
from persimmonhold.forwarding._attempt_result import AttemptResult
from persimmonhold.forwarding._dispatched_attempt import DispatchedAttempt
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.forwarding._request_state import RequestState
from persimmonhold.forwarding._resumable_event_framer import (
    ResumableEventFramer,
)
from persimmonhold.observability import log_event, metric

# How the last attempt ended, or the refusal of a hedge that was not sent.
RaceOutcome: TypeAlias = AttemptResult | RefuseRequest
_MS_PER_S: Final = 1000
_TOOK_OVER: Final = 'took_over'
_FIRST_WENT_ON: Final = 'first_went_on'


@final
class Hedge:
    """A hedge: it waits for its action, then `attempt` runs."""

    __slots__ = ('action', 'attempt', 'event_framer', 'request', 'task')

    def __init__(
        self,
        request: ForwardRequest,
        event_framer: ResumableEventFramer,
        action: asyncio.Future[ForwardAction],
    ) -> None:
        """Create a hedge that the dispatcher has accepted."""
        self.request = request
        self.event_framer = event_framer
        self.action = action
        self.attempt: DispatchedAttempt | None = None
        self.task: asyncio.Task[RaceOutcome] | None = None

    @property
    def number(self) -> int:
        """The number under which the hedge is dispatched."""
        return self.request.dispatch_request.number


@final
class AttemptRace(AttemptMonitor):
    """Owns the attempts of a request that are under way.

    `current` is the first attempt, until it fails or is superseded by `hedge`.
    `tasks` are those of all hedges; they end with the race.
    """

    __slots__ = ('current', 'hedge', 'state', 'tasks')

    def __init__(self, state: RequestState, action: SendRequest) -> None:
        """Create the race of an attempt that the dispatcher has assigned."""
        self.state = state
        self.current = DispatchedAttempt(
            state, state.request, state.event_framer, action, self
        )
        self.hedge: Hedge | None = None
        self.tasks: list[asyncio.Task[RaceOutcome]] = []

    async def run(self) -> RaceOutcome:
        """Run the attempt; return its outcome, or that of a hedge after it."""
        try:
            outcome: RaceOutcome = await self.current.run()
            while self.hedge is not None and not _is_final(outcome):
                outcome = await self._adopt_hedge(self.hedge, outcome)
        finally:
            self._end_hedge(AttemptEnd.cancelled)
            await self._end_tasks()
        return outcome

    def handle_pause(self, number: int) -> bool:
        """Start a hedge unless one is under way; return whether to give up.

        An attempt that pauses is given up only if its upstream has ended, and
        no other one can run the request; also without a response if the route
        allows no other attempt, as its caller may send the request again. It is
        too if the service is out of reach, as another entry may run the request.
        """
        if self.state.is_out_of_reach() and self._may_be_relayed():
            return True
        if self.hedge is not None or self._start_hedge():
            return False
        if self.is_only_attempt and not self.current.has_response:
            return True
        return self.state.services.probe.has_ended(self.current.action.upstream)

    @property
    def is_only_attempt(self) -> bool:
        """Whether the request runs for the last time, and was not hedged."""
        return not self.tasks and not self.state.can_run_beside

    def claim_response(self, number: int) -> None:
        """Make an attempt the only one, as its response goes on."""
        if self.hedge is None:
            return
        if number == self.hedge.number:
            self.current.supersede()
        else:
            self._end_hedge(AttemptEnd.cancelled)

    def _may_be_relayed(self) -> bool:
        """Tell whether another entry may run the request as well."""
        if not self.state.can_run_beside:
            return False
        if self.state.response_writer.has_begun:
            return True  # its caller takes it up elsewhere
        if not self.state.request.may_be_relayed:
            return False
        hub = self.state.services.hub
        budget = hub.dispatcher.retry_budget(
            self.state.request.dispatch_request.service
        )
        return budget.has_retry(hub.dispatcher.entry_count, hub.clock())

    def _start_hedge(self) -> bool:
        """Submit a hedge, if the request may run once more beside another."""
        state = self.state
        hub = state.services.hub
        dispatch_request = state.request.dispatch_request
        parts = dispatch_request.profile.all_parts
        is_quarantined = hub.quarantine.find_left_s(parts, hub.clock()) > 0
        if not state.can_run_beside or is_quarantined:
            return False
        if state.services.keys.check_request(state.request).refusal:
            return False
        number = next(hub.request_numbers)
        action = state.services.hedges.submit(dispatch_request.number, number)
        if action is None:
            return False
        self.hedge = Hedge(
            msgspec.structs.replace(
                state.request,
                dispatch_request=msgspec.structs.replace(
                    dispatch_request, number=number
                ),
            ),
            state.event_framer.create_successor(),
            action,
        )
        self.hedge.task = asyncio.get_running_loop().create_task(
            self._run_hedge(self.hedge)
        )
        self.tasks.append(self.hedge.task)
        return True

    async def _run_hedge(self, hedge: Hedge) -> RaceOutcome:
        """Wait for a place, then run the hedge; tell how it ended."""
        action = await hedge.action
        if isinstance(action, RefuseRequest):
            outcome: RaceOutcome = action
        else:
            hedge.attempt = DispatchedAttempt(
                self.state, hedge.request, hedge.event_framer, action, self
            )
            self._log_hedge(action)
            if self.hedge is not hedge:
                self.current = hedge.attempt
            outcome = await hedge.attempt.run()
        if self.hedge is hedge:
            self._handle_hedge_outcome(outcome)
        return outcome

    def _handle_hedge_outcome(self, outcome: RaceOutcome) -> None:
        """End the first attempt if the hedge has a response, else the hedge."""
        if _is_final(outcome):
            self.current.supersede()
        elif isinstance(outcome, RefuseRequest):
            self._end_hedge(AttemptEnd.cancelled)
        else:
            self._end_hedge(outcome.end)

    async def _adopt_hedge(
        self, hedge: Hedge, outcome: RaceOutcome
    ) -> RaceOutcome:
        """Go on with the hedge alone; return its outcome."""
        assert hedge.task is not None
        number = self.state.number
        self.hedge = None
        self.current = hedge.attempt or self.current
        self.state.request = hedge.request
        self.state.event_framer = hedge.event_framer
        end = AttemptEnd.cancelled
        if isinstance(outcome, AttemptResult):
            end = outcome.end
            if outcome.response is not None:
                self.state.error_response = outcome.response
        self.state.services.hedges.adopt(number, hedge.number, end)
        self._count_hedge(hedge, _TOOK_OVER)
        return await hedge.task

    def _end_hedge(self, end: AttemptEnd) -> None:
        """End the hedge, if there is one; the request goes on without it."""
        hedge = self.hedge
        if hedge is None:
            return
        self.hedge = None
        if hedge.attempt is not None:
            hedge.attempt.supersede()
        assert hedge.task is not None
        if not hedge.task.done() and hedge.task is not asyncio.current_task():
            hedge.task.cancel()
        self.state.services.hedges.drop(hedge.number, end)
        is_ended = end is AttemptEnd.cancelled
        self._count_hedge(hedge, _FIRST_WENT_ON if is_ended else end.value)

    async def _end_tasks(self) -> None:
        """Wait until no hedge runs, so that its end is counted and logged."""
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)

    def _count_hedge(self, hedge: Hedge, end: str) -> None:
        """Count a hedge that was sent, by what became of it."""
        if hedge.attempt is not None:
            self.state.services.metrics.increment(metric.HEDGES, end=end)

    def _log_hedge(self, action: SendRequest) -> None:
        """Log which upstream pauses, and to which one the hedge is sent."""
        profile = self.state.request.dispatch_request.profile
        log_event(
            'hedge_sent',
            request_id=profile.request_id,
            paused=self.current.action.upstream.name,
            upstream=action.upstream.name,
            has_begun=self.state.response_writer.has_begun,
            last_event=self.state.event_framer.last_id,
            waited_ms=round(action.waited_s * _MS_PER_S, 1),
        )


def _is_final(outcome: RaceOutcome) -> bool:
    """Tell whether an attempt has brought a whole response to the request."""
    if isinstance(outcome, RefuseRequest):
        return False
    return outcome.is_delivered or (
        outcome.response is not None and outcome.end is AttemptEnd.answered
    )
