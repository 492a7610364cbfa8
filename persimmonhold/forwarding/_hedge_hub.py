"""Passes hedges to the dispatcher of an entry, and returns its actions."""

import asyncio
from typing import final

from persimmonhold.fleet import (
    AttemptEnd,
    ForwardAction,
    RefuseRequest,
    adopt_hedge,
    drop_hedge,
    record_overdue,
    submit_hedge,
)
from persimmonhold.forwarding._forward_hub import ForwardHub


@final
class HedgeHub:
    """Submits hedges under numbers of their own; each waits like a request."""

    __slots__ = ('hub',)

    def __init__(self, hub: ForwardHub) -> None:
        """Create the part of a hub that handles hedges."""
        self.hub = hub

    def submit(
        self, request_number: int, hedge_number: int
    ) -> asyncio.Future[ForwardAction] | None:
        """Submit a hedge of a request whose response pauses.

        Returns None if no upstream but that of the request can run it.
        """
        hub = self.hub
        waiter = hub.create_waiter(hedge_number)
        hub.deliver(
            submit_hedge(
                hub.dispatcher, request_number, hedge_number, hub.clock()
            )
        )
        is_refused = waiter.done() and isinstance(
            waiter.result(), RefuseRequest
        )
        if is_refused or hedge_number not in hub.dispatcher.pending:
            hub.waiters.pop(hedge_number, None)
            return None
        if not waiter.done():
            hub.request_waiting.set()
        return waiter

    def adopt(
        self, request_number: int, hedge_number: int, attempt_end: AttemptEnd
    ) -> None:
        """Have a hedge stand for its request, whose first attempt has ended."""
        hub = self.hub
        hub.deliver(
            adopt_hedge(
                hub.dispatcher,
                request_number,
                hedge_number,
                attempt_end,
                hub.clock(),
            )
        )

    def drop(self, hedge_number: int, attempt_end: AttemptEnd) -> None:
        """Remove a hedge whose request goes on without it."""
        hub = self.hub
        waiter = hub.waiters.pop(hedge_number, None)
        if waiter is not None:
            waiter.cancel()
        hub.deliver(
            drop_hedge(hub.dispatcher, hedge_number, attempt_end, hub.clock())
        )

    def record_overdue(self, number: int, process: tuple[str, int]) -> None:
        """Record that a sent request has no response long after it was due."""
        hub = self.hub
        pending = hub.dispatcher.pending.get(number)
        if pending is None:
            return
        now = hub.clock()
        record_overdue(hub.dispatcher, pending, now)
        profile = pending.request.profile
        hub.quarantine.record_silence(
            process, profile.request_id, profile.shared_parts, now
        )
