"""The slots of brittle upstreams that the fleet controller assigns to an entry."""

import asyncio
import math
from collections.abc import Callable
from typing import Final, final

from persimmonhold.fleet import (
    AttemptEnd,
    FleetMessage,
    PermitReply,
    SlotRequest,
    SlotReturn,
)
from persimmonhold.observability import log_event

# A slot takes a round trip to the fleet controller.
_SLOT_TIMEOUT_S: Final = 0.2
# For this time after a request without a reply, the controller is not asked.
_UNANSWERED_S: Final = 0.5
_MIN_WAIT_S: Final = 0.02
# Time in which an upstream ends a request whose connection was closed.
_NOTICE_S: Final = 0.25
# The controller leaves some slots to entries that it has not heard of for a
# while. An entry uses these after a longer time without a reply.
_ALONE_AFTER_S: Final = 1.5
# After these, the upstream runs nothing of the attempt.
_KNOWN_ENDS: Final = frozenset((
    AttemptEnd.absent,
    AttemptEnd.answered,
    AttemptEnd.full,
    AttemptEnd.limited,
    AttemptEnd.spared,
    AttemptEnd.unsent,
    AttemptEnd.withheld,
))


@final
class SlotPermits:
    """Asks for slots and returns them.

    `pending` has the requests that wait for a reply. The controller is not asked
    before `ask_again_at`, and does not answer since `unanswered_since`, if that
    is known. `send` passes a message to it.
    """

    __slots__ = (
        'ask_again_at',
        'clock',
        'pending',
        'send',
        'unanswered_since',
    )

    def __init__(
        self,
        clock: Callable[[], float],
        send: Callable[[FleetMessage], None],
        pending: dict[int, asyncio.Future[PermitReply]],
    ) -> None:
        """Create the part of a fleet client that handles slots."""
        self.clock = clock
        self.send = send
        self.ask_again_at = -math.inf
        self.unanswered_since: float | None = None
        self.pending = pending

    async def ask(
        self, request_id: int, process: tuple[str, int]
    ) -> float | None:
        """Ask for a slot; return 0, or the seconds until one may be free.

        Returns None if the fleet controller has not answered for long.
        """
        asked_at = self.clock()
        if asked_at < self.ask_again_at:
            return self._find_unanswered_wait()
        future: asyncio.Future[PermitReply] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending[request_id] = future
        is_answered = False
        self.send(
            SlotRequest(
                request_id=request_id, upstream=process[0], born_ms=process[1]
            )
        )
        try:
            async with asyncio.timeout(_SLOT_TIMEOUT_S):
                reply = await future
            is_answered = True
        except TimeoutError:
            log_event('slot_unanswered', upstream=process[0])
            if asked_at > self.ask_again_at + _UNANSWERED_S:
                self.unanswered_since = asked_at
            self.ask_again_at = self.clock() + _UNANSWERED_S
            return self._find_unanswered_wait()
        finally:
            self.pending.pop(request_id)
            if not is_answered:
                self.give_back(request_id, process)
        self.unanswered_since = None
        return reply.wait_s

    def give_back(
        self,
        request_id: int,
        process: tuple[str, int],
        *,
        is_refused: bool = False,
    ) -> None:
        """Return a slot; `is_refused` if its request was for want of room."""
        self.send(
            SlotReturn(
                request_id=request_id,
                upstream=process[0],
                born_ms=process[1],
                is_refused=is_refused,
            )
        )

    def give_back_after(
        self, request_id: int, process: tuple[str, int], end: AttemptEnd
    ) -> None:
        """Return the slot of an attempt that ended like this.

        Later if the upstream may have to notice first that it has ended.
        """
        if end in _KNOWN_ENDS:
            is_refused = end is AttemptEnd.full
            self.give_back(request_id, process, is_refused=is_refused)
            return
        asyncio.get_running_loop().call_later(
            _NOTICE_S, self.give_back, request_id, process
        )

    def _find_unanswered_wait(self) -> float | None:
        """Return how long a request waits that got no reply; None if alone."""
        since = self.unanswered_since
        now = self.clock()
        if since is not None and now - since > _ALONE_AFTER_S:
            return None
        return max(_MIN_WAIT_S, self.ask_again_at - now)
