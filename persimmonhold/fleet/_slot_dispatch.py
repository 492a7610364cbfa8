"""Slots of brittle upstreams for the requests of one entry."""

import random
from typing import Final, final

from persimmonhold.fleet._brittleness import has_unassigned_place
from persimmonhold.fleet._limit_observation import LimitObservation
from persimmonhold.fleet._request_queue import PendingRequest
from persimmonhold.fleet._upstream_chooser import UpstreamChooser
from persimmonhold.fleet._upstream_tracker import UpstreamTracker

_WAIT_JITTER: Final = 0.5  # spreads the slot requests of all entries
# Time until the next request for a slot if this entry may use none.
_UNASSIGNED_WAIT_S: Final = 0.1


@final
class SlotDispatch:
    """Tells which requests need a slot, and records what becomes of them.

    `pending` has the requests of the dispatcher by number.
    """

    __slots__ = ('chooser', 'pending', 'rng')

    def __init__(
        self,
        chooser: UpstreamChooser,
        pending: dict[int, PendingRequest],
        rng: random.Random,
    ) -> None:
        """Create the part of a dispatcher that handles slots."""
        self.chooser = chooser
        self.pending = pending
        self.rng = rng

    def record_bound(
        self,
        process: tuple[str, int],
        refusals_per_s: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record what a response states of refusals; tell whether it is new.

        The request was sent at `sent_at`. Ignored if the process is no longer
        the one that the facts describe.
        """
        tracker = self.chooser.trackers.get(process[0])
        if tracker is None or tracker.facts.process_key != process:
            return False
        return tracker.fullness.brittleness.record_response(
            LimitObservation(refusals_per_s, sent_at, now)
        )

    def find_process(self, request_number: int) -> tuple[str, int] | None:
        """Return the process of which a request needs a slot, or None."""
        tracker = self._find_tracker(request_number)
        if tracker is None:
            return None
        brittleness = tracker.fullness.brittleness
        if brittleness.per_s is None:
            brittleness.cancel_request(request_number)
            return None
        return tracker.facts.process_key

    def record_slot(
        self,
        request_number: int,
        wait_s: float | None,
        entry_count: int,
        now: float,
    ) -> float:
        """Record the answer to a slot request; return the seconds until a slot.

        `wait_s` is what the fleet controller has answered, 0 for a slot, or
        None. Without its answer, the entry may use a small share of the slots.
        """
        tracker = self._find_tracker(request_number)
        if tracker is None:
            return wait_s or 0
        if wait_s is None:
            has_place = has_unassigned_place(tracker, entry_count)
            wait_s = 0 if has_place else _UNASSIGNED_WAIT_S
        spread = 1 + _WAIT_JITTER * self.rng.random()
        tracker.fullness.brittleness.record_permit(
            request_number, now + wait_s * spread
        )
        return wait_s

    def record_unassigned_refusal(
        self, upstream: str, entry_count: int, now: float
    ) -> None:
        """Record that an upstream refused a request without an assigned slot.

        All entries that the fleet controller does not answer may do the same.
        """
        tracker = self.chooser.trackers.get(upstream)
        if tracker is not None:
            brittleness = tracker.fullness.brittleness
            refusals_per_s = max(1, brittleness.per_s or 0)
            brittleness.close(now + entry_count / refusals_per_s)

    def _find_tracker(self, request_number: int) -> UpstreamTracker | None:
        """Return the upstream that a request was assigned to."""
        pending = self.pending.get(request_number)
        return pending and self.chooser.trackers.get(pending.upstream)
