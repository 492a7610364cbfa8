"""What limits one attempt at an upstream."""

import math
from typing import final

from persimmonhold.forwarding._attempt_monitor import AttemptMonitor


@final
class AttemptLimits:
    """Until when an attempt may be sent, and who decides whether it goes on.

    The permit of an attempt can be used until `usable_until`, which is infinity
    if the upstream has no request limit.
    """

    __slots__ = ('monitor', 'usable_until')

    def __init__(
        self,
        monitor: AttemptMonitor,
        usable_until: float = math.inf,
    ) -> None:
        """Create the limits of an attempt, by default without a permit."""
        self.monitor = monitor
        self.usable_until = usable_until
