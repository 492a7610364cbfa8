"""Which entries the fleet controller hears."""

from collections.abc import Iterable
from typing import Final, final

# Entries send a report at least every 0.5 s; this spans one that was lost.
_SILENT_S: Final = 1.2
# An entry that is silent for longer is taken to have ended.
_ENDED_S: Final = 30.0


@final
class EntryPresence:
    """When each entry was last heard.

    An entry that is not heard may be cut off, and then admits requests on its
    own, at most its equal share of each limit.
    """

    __slots__ = ('heard_at',)

    def __init__(self) -> None:
        """Create a record without any entry."""
        self.heard_at: dict[str, float] = {}

    def record_heard(self, entry: str, now: float) -> None:
        """Record that a message of an entry has arrived."""
        self.heard_at[entry] = now

    def forget(self, entries: Iterable[str], now: float) -> None:
        """Begin anew, as if these entries alone had just been heard."""
        self.heard_at = dict.fromkeys(entries, now)

    def compute_share(self, entries: Iterable[str], now: float) -> float:
        """Return the share of the entries that are not cut off."""
        silent = 0
        present = 0
        for entry in entries:
            silent_s = now - self.heard_at.setdefault(entry, now)
            if silent_s <= _SILENT_S:
                present += 1
            elif silent_s <= _ENDED_S:
                silent += 1
        return present / (present + silent) if present else 1.0
