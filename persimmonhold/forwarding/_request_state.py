"""What the attempts of one forwarded request have in common."""

from typing import final

from persimmonhold.forwarding._attempt_result import (
    AttemptResult,
    CompleteResponse,
)
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.forwarding._forward_response_writer import (
    ForwardResponseWriter,
)
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.forwarding._resumable_event_framer import (
    ResumableEventFramer,
)


@final
class RequestState:
    """A request, its response to the caller, and what its attempts have shown.

    `request` is dispatched under the number of its current attempt, whose
    events `event_framer` splits. `error_response` is the last complete error
    response of an upstream. `run_count` counts the attempts that have ended and
    may have run the request, those of the entry that relayed it included.
    """

    __slots__ = (
        'error_response',
        'event_framer',
        'may_have_run',
        'request',
        'response_writer',
        'run_count',
        'services',
    )

    def __init__(
        self,
        services: ForwardServices,
        request: ForwardRequest,
        response_writer: ForwardResponseWriter,
    ) -> None:
        """Create the state of a request that was not sent yet."""
        self.services = services
        self.request = request
        self.response_writer = response_writer
        self.event_framer = ResumableEventFramer()
        self.may_have_run = False
        self.run_count = request.earlier_runs
        self.error_response: CompleteResponse | None = None

    @property
    def number(self) -> int:
        """The number under which the current attempt was dispatched."""
        return self.request.dispatch_request.number

    def is_out_of_reach(self) -> bool:
        """Tell whether this entry reaches no upstream of its service now."""
        return self.services.reach.monitor.is_lost(
            self.request.dispatch_request.service
        )

    @property
    def can_run_again(self) -> bool:
        """Whether the request may go to another upstream."""
        return self._may_run(self.run_count + 1)

    @property
    def can_run_beside(self) -> bool:
        """Whether the request may go to another upstream beside one attempt."""
        return self._may_run(self.run_count + 2)

    def count_run(self, result: AttemptResult) -> None:
        """Count an attempt if it may have run the request."""
        self.may_have_run = self.may_have_run or result.may_have_run
        self.run_count += result.may_have_run
        self.may_have_run = self.may_have_run or result.is_unanswered

    def _may_run(self, run_count: int) -> bool:
        """Tell whether the request may run so often, and go on from here."""
        route = self.request.dispatch_request.route
        if not route.is_repeatable or run_count > route.max_attempts:
            return False
        if not self.response_writer.has_begun:
            return True
        return route.is_resumable and self.event_framer.can_resume
