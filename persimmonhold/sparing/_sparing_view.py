"""Whether a process of an upstream wants no new requests of this VM.

This rests on the responses that this VM has received, so it holds while the
VM cannot reach control. A list or an update ends it only if the start of a
process is unknown (see `LeavingStatement`).
"""

import math
from typing import Final, final

from persimmonhold.sparing._leaving_statement import LeavingStatement
from persimmonhold.sparing._sparing_cause import SparingCause

_CONFIRMATION_S: Final = 1.0


@final
class SparingView:
    """What one process of an upstream has stated about new requests.

    `born_ms` is the start time of the process, or 0 if it is unknown. `leaving`
    is set once it has stated that it leaves, and `outlived_since` is since when
    lists show that another process has replaced it, or None.
    """

    __slots__ = (
        'born_ms',
        'closed_until',
        'leaving',
        'outlived_since',
        'service',
    )

    def __init__(self, born_ms: int = 0, service: str = '') -> None:
        """Create the view of a process that accepts requests."""
        self.born_ms = born_ms
        self.service = service
        self.leaving: LeavingStatement | None = None
        self.outlived_since: float | None = None
        self.closed_until = -math.inf

    @property
    def is_leaving(self) -> bool:
        """Whether the process has stated that it leaves."""
        return self.leaving is not None

    def is_spared(self, now: float) -> bool:
        """Tell whether the process gets no new request."""
        return self.is_leaving or now < self.closed_until

    def find_cause(self, now: float) -> SparingCause | None:
        """Return why the process gets no new request, or None."""
        if self.is_leaving:
            return SparingCause.leaving
        if now < self.closed_until:
            return SparingCause.turned_away
        return None

    def confirm_list(
        self, listed_at: float, now: float, *, is_listed_leaving: bool
    ) -> None:
        """End a leave once lists show for a while that the process is gone.

        The newest was requested at `listed_at`, as far as is known: an update
        that was held up on its way seems newer than it is, until the next one.
        """
        if self.leaving is None or not self.leaving.has_ended(
            self.born_ms, listed_at, is_listed_leaving=is_listed_leaving
        ):
            self.outlived_since = None
        elif self.outlived_since is None:
            self.outlived_since = now
        elif now >= self.outlived_since + _CONFIRMATION_S:
            self.leaving = None

    def is_older_than(self, born_ms: int) -> bool:
        """Tell whether a process with this start time has replaced it.

        An unknown start time is that of the same process: facts lack it until
        the first report of the upstream.
        """
        return 0 < self.born_ms < born_ms

    def confirm_process(self, born_ms: int, service: str) -> None:
        """Record the start time and the service, once they are known."""
        self.born_ms = max(self.born_ms, born_ms)
        self.service = service or self.service
