"""The section of the settings file with limits on orders, stops and keys."""

import math
from typing import Final, final

import msgspec

from persimmonhold.fleet import RetryBounds
from persimmonhold.forwarding import FleetBounds

_DIRECTORY_TTL_S: Final = 1.0  # how long callers cache a directory response
_MS_PER_S: Final = 1000
# Half of `revoke-ms`, so that there is time to ask again. The shortest one is the
# interval in which VMs look whether it has passed.
_MIN_LEADER_PROOF_MS: Final = 100
_MAX_LEADER_PROOF_MS: Final = 60_000


@final
class WireBounds(msgspec.Struct, frozen=True, rename='kebab'):
    """The limits that become `FleetBounds`.

    `revoke_ms` has an effect only with `strict_revocation`.
    """

    grace_s: float = 8
    lease_ms: float = 3000
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 50
    strict_revocation: bool = False
    revoke_ms: float = 5000


def choose_leader_proof_ms(bounds: WireBounds) -> int:
    """Return the age from which proof is asked for; 0 if none is needed."""
    if not bounds.strict_revocation:
        return 0
    half_ms = int(bounds.revoke_ms / 2)
    return min(_MAX_LEADER_PROOF_MS, max(_MIN_LEADER_PROOF_MS, half_ms))


def build_fleet_bounds(wire: WireBounds) -> FleetBounds:
    """Convert the limits to the units and names of this system."""
    return FleetBounds(
        order_lease_s=wire.lease_ms / _MS_PER_S,
        grace_s=wire.grace_s,
        directory_ttl_s=_DIRECTORY_TTL_S,
        max_proof_age_s=(
            wire.revoke_ms / _MS_PER_S if wire.strict_revocation else math.inf
        ),
        retries=RetryBounds(
            ratio=wire.retry_budget_ratio,
            window_s=wire.retry_window_s,
            slack=wire.retry_slack,
        ),
    )
