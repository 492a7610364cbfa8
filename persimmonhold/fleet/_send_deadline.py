"""Until when a waiting request may be sent to an upstream."""

import math
from typing import Final, final

from persimmonhold.fleet._dispatch_request import DispatchRequest
from persimmonhold.fleet._engine_speed import (
    BUSY_OUTPUT_TOKENS_PER_S,
    MAX_OUTPUT_TOKENS_PER_S,
    PROMPT_TOKENS_PER_S,
)
from persimmonhold.fleet._request_queue import PendingRequest
from persimmonhold.routes import RouteKind

# Time to the first event at an idle upstream with a short prompt.
MIN_FIRST_EVENT_S: Final = 0.04
# The part of the time until the deadline that is kept for the output at most;
# a response may be far shorter than the limit that its caller states.
_MAX_OUTPUT_SHARE: Final = 0.25
# Time that a planned stop leaves for each response at least.
_STOP_RESERVE_S: Final = 1.0
# Streams that are received later than this in a planned stop must not be cut.
_LATE_ARRIVAL_S: Final = 2.0


@final
class SendDeadline:
    """The latest time at which each request may be sent.

    Responses have to end by `stops_at`, which is infinite unless a stop of the
    entry is planned. Streams that were received after `late_from` are sent only
    if their deadline is before it, as nothing else limits how long they last.
    """

    __slots__ = ('late_from', 'stops_at')

    def __init__(self) -> None:
        """Create the deadlines of an entry that is not told to stop."""
        self.late_from = math.inf
        self.stops_at = math.inf

    def plan_stop(self, stops_at: float, now: float) -> None:
        """Have responses end by `stops_at`, in a stop that begins now."""
        self.late_from = now + _LATE_ARRIVAL_S
        self.stops_at = stops_at

    def find(self, pending: PendingRequest) -> float:
        """Return the time until which a request may stay queued.

        Sent later, it would get its first event after the caller gave up, or
        could not be complete by its deadline or the stop of the entry.
        """
        request = pending.request
        profile = request.profile
        output_s = min(
            profile.output_tokens / MAX_OUTPUT_TOKENS_PER_S,
            _MAX_OUTPUT_SHARE * (request.ends_at - request.arrived_at),
        )
        if pending.has_response_begun:
            output_s = 0  # how much is left is not known
        latest = min(pending.caller_waits_until, request.ends_at - output_s)
        read_s = profile.prompt_tokens / PROMPT_TOKENS_PER_S
        return min(
            latest - MIN_FIRST_EVENT_S - 2 * read_s,
            self.find_before_stop(pending),
        )

    def find_before_stop(self, pending: PendingRequest) -> float:
        """Return the time until which the planned stop lets a request be sent.

        The rest of a broken stream may be short, so only the least time is
        reserved for it.
        """
        output_s = 0.0
        if not pending.has_response_begun:
            output_s = self._output_s(pending.request)
        return self.stops_at - max(_STOP_RESERVE_S, output_s)

    def is_stop_before(
        self, service_at: float, pending: PendingRequest
    ) -> bool:
        """Tell whether the stop prevents that a request is sent so late."""
        return service_at > self.find_before_stop(pending)

    def _output_s(self, request: DispatchRequest) -> float:
        """Return the time for the response that the planned stop leaves."""
        received_at = max(request.arrived_at, request.received_at)
        is_late_stream = (
            request.route.kind is RouteKind.stream
            and received_at > self.late_from
            and request.ends_at > self.stops_at
        )
        if is_late_stream:
            return math.inf
        return request.profile.output_tokens / BUSY_OUTPUT_TOKENS_PER_S
