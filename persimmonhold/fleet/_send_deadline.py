"""Until when a waiting request may be sent to an upstream."""

import math
from typing import Final, final

from persimmonhold.fleet._engine_speed import (
    BUSY_OUTPUT_TOKENS_PER_S,
    MAX_OUTPUT_TOKENS_PER_S,
    PROMPT_TOKENS_PER_S,
)
from persimmonhold.fleet._request_queue import PendingRequest

# Time to the first event at an idle upstream with a short prompt.
MIN_FIRST_EVENT_S: Final = 0.04
# The part of the time until the deadline that is kept for the output at most;
# a response may be far shorter than the limit that its caller states.
_MAX_OUTPUT_SHARE: Final = 0.25
# Time that a planned stop leaves for each response at least.
_STOP_RESERVE_S: Final = 1.0


@final
class SendDeadline:
    """The latest time at which each request may be sent.

    Responses have to end by `stops_at`, which is infinite unless a stop of the
    entry is planned.
    """

    __slots__ = ('stops_at',)

    def __init__(self) -> None:
        """Create the deadlines of an entry that is not told to stop."""
        self.stops_at = math.inf

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
            tokens = pending.request.profile.output_tokens
            output_s = tokens / BUSY_OUTPUT_TOKENS_PER_S
        return self.stops_at - max(_STOP_RESERVE_S, output_s)

    def is_stop_before(
        self, service_at: float, pending: PendingRequest
    ) -> bool:
        """Tell whether the stop prevents that a request is sent so late."""
        return service_at > self.find_before_stop(pending)
