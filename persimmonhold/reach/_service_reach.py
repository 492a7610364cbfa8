"""Evidence on whether an entry reaches the upstreams of one service."""

from typing import final


@final
class ServiceReach:
    """The connections that failed since the last one that was opened.

    `failed_at` has when each upstream was last found out of reach. `lost_at` is
    when none was found to be in reach, or None. `is_probed` tells that it is
    being found out.
    """

    __slots__ = ('failed_at', 'is_probed', 'lost_at')

    def __init__(self) -> None:
        """Create the evidence of a service whose upstreams are in reach."""
        self.failed_at: dict[str, float] = {}
        self.lost_at: float | None = None
        self.is_probed = False
