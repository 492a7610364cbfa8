"""The bounds that a platform sets to the fleet."""

from typing import final

import msgspec

from persimmonhold.fleet import RetryBounds


@final
class FleetBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Times in seconds.

    `order_lease_s` has to pass between orders of two VMs. A planned stop is
    over after `grace_s`. Callers keep a directory for `directory_ttl_s` at
    least.
    """

    order_lease_s: float = 3.0
    grace_s: float = 8.0
    directory_ttl_s: float = 1.0
    retries: RetryBounds = RetryBounds()
