"""Copies that the streams of lost entries may still need.

Callers take such streams up at other entries, and only an upstream of the same build
can go on with them. Meanwhile no entry reports them.
"""

from collections.abc import Iterable
from typing import Final, TypeAlias, final

from persimmonhold.fleet._shared_load import SharedLoad

_HeldCopy: TypeAlias = tuple[str, str]
# Callers find another entry, and send again, within this time.
_TAKE_UP_S: Final = 8.0


@final
class LostStreams:
    """The (upstream, model) at which streams of lost entries ran, and until when.

    A copy is kept for them until then.
    """

    __slots__ = ('until',)

    def __init__(self) -> None:
        """Create without streams."""
        self.until: dict[_HeldCopy, float] = {}

    def record_lost_entry(
        self, loads: Iterable[SharedLoad], now: float
    ) -> None:
        """Record what an entry last reported before it was lost."""
        for load in loads:
            for model, count in load.models:
                if count:
                    self.until[load.upstream, model] = now + _TAKE_UP_S

    def list_copies(self, now: float) -> frozenset[_HeldCopy]:
        """Return the copies that are still needed, and forget the others."""
        self.until = {
            copy: until for copy, until in self.until.items() if until > now
        }
        return frozenset(self.until)
