"""Time limits and retry limits that a platform sets."""

import math
from typing import final

import msgspec

from persimmonhold.fleet import RetryBounds


@final
class FleetBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on orders, planned stops, directory caching and retries.

    At least `order_lease_s` must pass between orders of two VMs. A planned
    stop ends within `grace_s`. Callers cache a directory for at least
    `directory_ttl_s`. An entry that has had no proof of being current for longer
    than `max_proof_age_s` refuses requests that need a key, as the key may have
    been withdrawn; if it is infinite, it serves them by what it knows.
    """

    order_lease_s: float = 3.0
    grace_s: float = 8.0
    directory_ttl_s: float = 1.0
    max_proof_age_s: float = math.inf
    retries: RetryBounds = RetryBounds()
