"""The subset of a target's endpoints that one entry uses.

Every entry ranks the upstreams by a hash of its own name and theirs
(rendezvous hashing). So the subsets of the entries differ, the subset of one
entry is stable over time, and the targets of one entry share upstreams. The
first endpoint is in the entry's own failure domain and the second outside it,
where such endpoints exist.
"""

import hashlib
import math
from typing import Final, final

from persimmonhold.routing._endpoint import Endpoint
from persimmonhold.routing._router_settings import RouterSettings

_DIGEST_BYTES: Final = 8


@final
class EndpointSubset:
    """The endpoints of one target that this entry uses.

    The subset grows at once with the demand and shrinks slowly.

    `in_flight` counts this entry's requests in flight for the target.
    `decayed_peak_in_flight` is their highest number, which halves every
    `demand_half_life_s`.
    """

    __slots__ = (
        '_decayed_at',
        '_settings',
        'decayed_peak_in_flight',
        'endpoints',
        'in_flight',
        'ranked_endpoints',
    )

    def __init__(
        self,
        ranked_endpoints: tuple[Endpoint, ...],
        settings: RouterSettings,
    ) -> None:
        """Create a subset of endpoints in order of preference."""
        self.in_flight = 0
        self.decayed_peak_in_flight = 0.0
        self._decayed_at = 0.0
        self.ranked_endpoints = ranked_endpoints
        self._settings = settings
        self.endpoints = ranked_endpoints[: settings.min_subset_endpoints]

    def update_endpoints(
        self, ranked_endpoints: tuple[Endpoint, ...], now: float
    ) -> None:
        """Replace the endpoints by those of a newer view."""
        self.ranked_endpoints = ranked_endpoints
        self.resize(now)

    def change_in_flight(self, delta: int, now: float) -> None:
        """Add `delta` to the number of requests in flight."""
        self.in_flight += delta
        self.resize(now)

    def try_grow(self) -> bool:
        """Add one endpoint to the subset; return False if all are in it.

        Sets the peak of requests in flight to the demand that needs this many
        endpoints, so that the subset does not shrink again at once.
        """
        if len(self.endpoints) == len(self.ranked_endpoints):
            return False
        count = len(self.endpoints) + 1
        self.decayed_peak_in_flight = (
            count * self._settings.subset_requests_per_endpoint
        )
        self.endpoints = self.ranked_endpoints[:count]
        return True

    def resize(self, now: float) -> None:
        """Adjust the number of endpoints to the peak of requests in flight."""
        half_lives = (
            now - self._decayed_at
        ) / self._settings.demand_half_life_s
        self.decayed_peak_in_flight = max(
            self.in_flight,
            self.decayed_peak_in_flight * 0.5 ** max(0, half_lives),
        )
        self._decayed_at = now
        per_endpoint = self._settings.subset_requests_per_endpoint
        count = max(
            self._settings.min_subset_endpoints,
            math.ceil(self.decayed_peak_in_flight / per_endpoint),
        )
        count = min(count, len(self.ranked_endpoints))
        self.endpoints = self.ranked_endpoints[:count]


def rank_endpoints(
    entry_name: str,
    failure_domain: str,
    endpoints: tuple[Endpoint, ...],
) -> tuple[Endpoint, ...]:
    """Return the endpoints in this entry's order of preference.

    `failure_domain` is that of the entry.
    """
    ordered = sorted(
        endpoints, key=lambda endpoint: _rendezvous_hash(entry_name, endpoint)
    )
    near = [
        endpoint
        for endpoint in ordered
        if _is_in_domain(endpoint, failure_domain)
    ]
    far = [
        endpoint
        for endpoint in ordered
        if not _is_in_domain(endpoint, failure_domain)
    ]
    first = (*near[:1], *far[:1])
    return (
        *first,
        *(endpoint for endpoint in ordered if endpoint not in first),
    )


def _rendezvous_hash(entry_name: str, endpoint: Endpoint) -> bytes:
    key = f'{entry_name}\n{endpoint.upstream.name}'.encode()
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


def _is_in_domain(endpoint: Endpoint, failure_domain: str) -> bool:
    return endpoint.upstream.failure_domain == failure_domain
