"""Whether a process of an upstream wants no new requests of this VM.

This rests on the responses that this VM has received, so it holds while the
VM cannot reach control, and no list or update ends it.
"""

import math
from typing import final

from persimmonhold.sparing._sparing_cause import SparingCause


@final
class SparingView:
    """What one process of an upstream has stated about new requests.

    `born_ms` is the start time of the process, or 0 if it is unknown.
    """

    __slots__ = ('born_ms', 'closed_until', 'is_leaving', 'service')

    def __init__(self, born_ms: int = 0, service: str = '') -> None:
        """Create the view of a process that accepts requests."""
        self.born_ms = born_ms
        self.service = service
        self.is_leaving = False
        self.closed_until = -math.inf

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
