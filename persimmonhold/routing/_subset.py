"""The sites of a target that one entry uses.

Every entry orders the upstreams by a hash of its own name and theirs, so
that entries differ from one another, an entry is stable over time, and the
targets of one entry share upstreams. The first site is in the entry's own
failure domain and the second outside it, where there are such sites.
"""

import hashlib
import math
from typing import Final, final

from persimmonhold.routing._endpoint import Endpoint
from persimmonhold.routing._router_settings import RouterSettings

_DIGEST_BYTES: Final = 8


@final
class Subset:
    """The used sites of one target; grows at once and shrinks slowly.

    `peak` is the highest number of requests in flight, halved each
    half-life.
    """

    __slots__ = ('_at', '_settings', 'in_flight', 'ordered', 'peak', 'sites')

    def __init__(
        self,
        ordered: tuple[Endpoint, ...],
        settings: RouterSettings,
    ) -> None:
        """Create a subset of sites that are in order of preference."""
        self.in_flight = 0
        self.peak = 0.0
        self._at = 0.0
        self.ordered = ordered
        self._settings = settings
        self.sites = ordered[: settings.min_subset_endpoints]

    def arrange(self, ordered: tuple[Endpoint, ...], now: float) -> None:
        """Use the sites of a newer view."""
        self.ordered = ordered
        self.resize(now)

    def add(self, change: int, now: float) -> None:
        """Count requests in flight."""
        self.in_flight += change
        self.resize(now)

    def grow(self) -> bool:
        """Use one more site; return False where all are in use."""
        if len(self.sites) == len(self.ordered):
            return False
        wanted = len(self.sites) + 1
        self.peak = wanted * self._settings.subset_requests_per_endpoint
        self.sites = self.ordered[:wanted]
        return True

    def resize(self, now: float) -> None:
        """Fit the number of sites to the demand."""
        age = (now - self._at) / self._settings.demand_half_life_s
        self.peak = max(self.in_flight, self.peak * 0.5 ** max(0, age))
        self._at = now
        per_copy = self._settings.subset_requests_per_endpoint
        wanted = max(
            self._settings.min_subset_endpoints,
            math.ceil(self.peak / per_copy),
        )
        wanted = min(wanted, len(self.ordered))
        self.sites = self.ordered[:wanted]


def order_sites(
    entry_name: str,
    failure_domain: str,
    sites: tuple[Endpoint, ...],
) -> tuple[Endpoint, ...]:
    """Return the sites in this entry's order of preference."""
    ordered = sorted(sites, key=lambda site: _score(entry_name, site))
    near = [site for site in ordered if _is_in(site, failure_domain)]
    far = [site for site in ordered if not _is_in(site, failure_domain)]
    first = (*near[:1], *far[:1])
    return (*first, *(site for site in ordered if site not in first))


def _score(entry_name: str, site: Endpoint) -> bytes:
    key = f'{entry_name}\n{site.upstream.name}'.encode()
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


def _is_in(site: Endpoint, failure_domain: str) -> bool:
    return site.upstream.failure_domain == failure_domain
