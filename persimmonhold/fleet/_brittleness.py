"""Upstreams that fail if they refuse too many requests for want of room.

They state how many refusals a second they withstand. An entry sends them a
request only with a slot that the fleet controller has assigned. If it does not
answer, the entry uses a small share of the slots.
"""

from collections.abc import Iterable
from typing import Final

from persimmonhold.fleet._upstream_tracker import UpstreamTracker

# The part of the slots of a brittle upstream that entries share by chance while
# the fleet controller assigns none.
UNASSIGNED_SHARE: Final = 0.4


def count_sent(tracker: UpstreamTracker) -> int:
    """Count the running requests, without one that asks for a slot."""
    asking = tracker.fullness.brittleness.asking_number
    return len(tracker.running) - (asking in tracker.running)


def has_unassigned_place(tracker: UpstreamTracker, entry_count: int) -> bool:
    """Tell whether an entry may use a slot that nobody assigned to it.

    The entries use no more than a part of the slots on average, without
    knowledge of each other.
    """
    share = tracker.facts.slots * UNASSIGNED_SHARE / entry_count
    return count_sent(tracker) < int(share + tracker.free_places.draw)


def find_least_refusals(trackers: Iterable[UpstreamTracker]) -> float | None:
    """Return how few refusals a second one of some upstreams withstands.

    None if none of them is brittle.
    """
    bounds = (one.fullness.brittleness.per_s for one in trackers)
    return min((one for one in bounds if one is not None), default=None)


def find_slot_opening(trackers: Iterable[UpstreamTracker], now: float) -> float:
    """Return when a slot may be requested of one of some upstreams.

    That is now unless all available ones are brittle.
    """
    return min(
        (
            max(now, tracker.fullness.brittleness.closed_until)
            for tracker in trackers
            if tracker.is_available(now)
        ),
        default=now,
    )
