"""Which entries the fleet controller reaches."""

import math
from collections.abc import Iterable
from typing import Final, final

# Entries send a report at least every 0.5 s, so without a message for this time
# the VM was paused, or cut off from all of them.
_PAUSED_S: Final = 0.6
# Entries decide on their own after this time without a reply.
_REPLY_TIMEOUT_S: Final = 0.15
# Entries send a report at least every 0.5 s; this spans one that was lost.
_SILENT_S: Final = 1.2
# An entry that is silent for longer is taken to have ended.
_ENDED_S: Final = 30.0


@final
class EntryPresence:
    """When each entry was last heard, or last told that it gets no replies.

    An entry that is cut off admits requests on its own, at most its equal share
    of each limit. `message_at` is when any entry was last heard.
    """

    __slots__ = ('alone_at', 'heard_at', 'message_at')

    def __init__(self) -> None:
        """Create a record without any entry."""
        self.alone_at: dict[str, float] = {}
        self.heard_at: dict[str, float] = {}
        self.message_at = math.inf

    def measure_pause(self, now: float) -> float:
        """Record a message; return for how long entries got no replies."""
        silent_s = now - self.message_at
        self.message_at = now
        return silent_s - _REPLY_TIMEOUT_S if silent_s > _PAUSED_S else 0

    def record_heard(self, entry: str, now: float) -> None:
        """Record that a message of an entry has arrived."""
        self.heard_at[entry] = now

    def record_asked(self, entry: str, now: float, *, is_alone: bool) -> None:
        """Record whether an entry that asks gets replies."""
        self.heard_at[entry] = now
        self.alone_at.pop(entry, None)
        if is_alone:
            self.alone_at[entry] = now

    def forget(self, entries: Iterable[str], now: float) -> None:
        """Begin anew, as if these entries alone had just been heard."""
        self.heard_at = dict.fromkeys(entries, now)
        self.alone_at = {}

    def compute_share(self, entries: Iterable[str], now: float) -> float:
        """Return the share of the entries that are not cut off."""
        apart = 0
        present = 0
        for entry in entries:
            silent_s = now - self.heard_at.setdefault(entry, now)
            alone_s = now - self.alone_at.get(entry, -math.inf)
            if silent_s <= _SILENT_S < alone_s:
                present += 1
            elif silent_s <= _ENDED_S:
                apart += 1
        return present / (present + apart) if present else 1.0
