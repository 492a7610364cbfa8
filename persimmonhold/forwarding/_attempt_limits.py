"""What limits one attempt at an upstream."""

import math
from collections.abc import Callable
from typing import final


@final
class AttemptLimits:
    """Until when an attempt may be sent, and whether it may be given up.

    The permit of an attempt can be used until `usable_until`, which is infinity
    if the upstream has no request limit. A response that pauses is given up
    only if the request `can_go_on_elsewhere`.
    """

    __slots__ = ('can_go_on_elsewhere', 'usable_until')

    def __init__(
        self,
        can_go_on_elsewhere: Callable[[], bool],
        usable_until: float = math.inf,
    ) -> None:
        """Create the limits of an attempt, by default without a permit."""
        self.can_go_on_elsewhere = can_go_on_elsewhere
        self.usable_until = usable_until
