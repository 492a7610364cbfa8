"""A statement of a process that it leaves."""

from typing import Final, final

import msgspec

# A list requested this long after a statement shows what became of the process
# that made it, since a list lags by less than a second.
_LIST_CATCH_UP_S: Final = 3.0


@final
class LeavingStatement(msgspec.Struct, frozen=True):
    """That a process leaves, as it stated in a report or a response.

    `born_ms` is the start time of the process, or 0 if it is unknown, and
    `said_at` when it said so last.
    """

    born_ms: int
    said_at: float

    def has_ended(
        self, born_ms: int, listed_at: float, *, is_listed_leaving: bool
    ) -> bool:
        """Tell whether the process has been replaced by another one.

        `born_ms` is the start of the process that runs now, or 0. If a start
        is unknown, the list decides: it was requested at `listed_at`, and a
        process that leaves is never ready again.
        """
        if self.born_ms and born_ms:
            return born_ms > self.born_ms
        return (
            not is_listed_leaving
            and listed_at >= self.said_at + _LIST_CATCH_UP_S
        )
