"""Records at an entry which upstreams are brittle, and their slots."""

from collections.abc import Callable
from typing import final

from persimmonhold.fleet import ForwardDispatcher
from persimmonhold.observability import log_event


@final
class BrittleRecorder:
    """Passes statements and slots to the dispatcher; logs changes."""

    __slots__ = ('clock', 'dispatcher')

    def __init__(
        self, dispatcher: ForwardDispatcher, clock: Callable[[], float]
    ) -> None:
        """Create a recorder for the dispatcher of an entry."""
        self.dispatcher = dispatcher
        self.clock = clock

    def record_response(
        self,
        process: tuple[str, int],
        refusals_per_s: float | None,
        sent_at: float,
    ) -> None:
        """Record how many refusals an upstream withstands; log a change.

        None means that its response, to a request sent at `sent_at`, names no
        such bound.
        """
        if self.dispatcher.slots.record_bound(
            process, refusals_per_s, sent_at, self.clock()
        ):
            log_event(
                'upstream_brittle',
                upstream=process[0],
                refusals_per_s=refusals_per_s,
            )

    def find_process(self, request_number: int) -> tuple[str, int] | None:
        """Return the process of which a request needs a slot, or None."""
        return self.dispatcher.slots.find_process(request_number)

    def record_slot(self, request_number: int, wait_s: float | None) -> float:
        """Record a slot, or return in how many seconds there may be one."""
        return self.dispatcher.slots.record_slot(
            request_number, wait_s, self.dispatcher.entry_count, self.clock()
        )

    def record_unassigned_refusal(self, upstream: str) -> None:
        """Record the refusal of a request that had no assigned slot."""
        self.dispatcher.slots.record_unassigned_refusal(
            upstream, self.dispatcher.entry_count, self.clock()
        )
