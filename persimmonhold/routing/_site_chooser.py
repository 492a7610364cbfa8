"""Chooses among the sites that may be used.

A request for a model goes to the best of two random sites and of the site
that is believed to have most of its prompt cached; the predicted time to
the first token decides. The random choice keeps entries that see the same
lagging reports from herding on the idlest upstream.
"""

import random
from collections.abc import Mapping
from typing import Final, final

from persimmonhold.routing._endpoint import Endpoint
from persimmonhold.routing._prediction import Prediction
from persimmonhold.routing._route import Route
from persimmonhold.routing._route_request import RouteRequest
from persimmonhold.routing._router_settings import RouterSettings
from persimmonhold.routing._upstream_state import UpstreamState

_HEXADECIMAL: Final = 16
_SAMPLES: Final = 2
_SAMPLING_TRIES: Final = 8


@final
class SiteChooser:
    """The random and the predicted part of a choice."""

    __slots__ = ('_failure_domain', '_random', '_settings', '_states')

    def __init__(
        self,
        failure_domain: str,
        states: Mapping[str, UpstreamState],
        settings: RouterSettings,
        source: random.Random,
    ) -> None:
        """Create a chooser that reads the given states."""
        self._failure_domain = failure_domain
        self._states = states
        self._settings = settings
        self._random = source

    def choose_replica(self, usable: list[Endpoint]) -> Route:
        """Return a route to a plain service.

        The least used of two replicas, near ones first unless loaded.
        """
        near = [site for site in usable if self._is_near_and_free(site)]
        pool = near or usable
        sampled = self._draw(pool)
        chosen = min(sampled, key=self._outstanding)
        outstanding = self._outstanding(chosen)
        return _route(
            chosen,
            f'{outstanding} outstanding, least of {len(sampled)} sampled '
            f'out of {len(usable)}',
        )

    def choose_engine(
        self,
        usable: list[Endpoint],
        request: RouteRequest,
        now: float,
    ) -> Route:
        """Return the route with the earliest predicted first token."""
        blocks = [int(text, _HEXADECIMAL) for text in request.prefix_hashes]
        sampled = self._sample(usable, blocks, now)
        predictions = [
            self._predict(site, request, blocks, now) for site in sampled
        ]
        order = sorted(
            range(len(sampled)),
            key=lambda position: predictions[position].total_ms,
        )
        chosen, prediction = sampled[order[0]], predictions[order[0]]
        return _route(
            chosen,
            f'{prediction.describe()}; best of {len(sampled)} sampled '
            f'out of {len(usable)}',
            prediction,
        )

    def _is_near_and_free(self, site: Endpoint) -> bool:
        if site.upstream.failure_domain != self._failure_domain:
            return False
        allowance = self._settings.local_service_max_in_flight
        return self._outstanding(site) < allowance

    def _outstanding(self, site: Endpoint) -> int:
        return self._states[site.upstream.name].load.in_flight

    def _sample(
        self,
        usable: list[Endpoint],
        blocks: list[int],
        now: float,
    ) -> list[Endpoint]:
        sampled = self._sample_by_weight(usable, now)
        if blocks and len(usable) > _SAMPLES:
            holder = max(usable, key=lambda site: self._hits(site, blocks))
            if holder not in sampled and self._hits(holder, blocks):
                sampled.append(holder)
        return sampled

    def _sample_by_weight(
        self,
        usable: list[Endpoint],
        now: float,
    ) -> list[Endpoint]:
        """Return up to two sites; one that warms up is passed over often."""
        drawn = usable
        for _ in range(_SAMPLING_TRIES):
            drawn = self._draw(usable)
            kept = [site for site in drawn if self._is_warm_enough(site, now)]
            if kept:
                return kept
        return drawn

    def _draw(self, usable: list[Endpoint]) -> list[Endpoint]:
        """Return up to two different sites in random order."""
        count = len(usable)
        if count == 1:
            return usable
        first = int(self._random.random() * count)
        second = int(self._random.random() * (count - 1))
        if second >= first:
            second += 1
        return [usable[first], usable[second]]

    def _is_warm_enough(self, site: Endpoint, now: float) -> bool:
        weight = self._states[site.upstream.name].health.weight(now)
        return weight >= 1 or self._random.random() < weight

    def _hits(self, site: Endpoint, blocks: list[int]) -> int:
        return self._states[site.upstream.name].prefixes.count_cached_blocks(
            blocks
        )

    def _predict(
        self,
        site: Endpoint,
        request: RouteRequest,
        blocks: list[int],
        now: float,
    ) -> Prediction:
        load = self._states[site.upstream.name].load
        cached = self._hits(site, blocks) * self._settings.prefix_block_tokens
        hit_tokens = min(cached, request.prompt_tokens)
        other_ms = load.step_ms(now) + load.correction_ms(now)
        if site.upstream.failure_domain != self._failure_domain:
            other_ms += self._settings.cross_domain_latency_ms
        if not site.is_current:
            other_ms += self._settings.old_version_penalty_ms
        return Prediction(
            load.wait_ms(now),
            load.prefill_ms(request.prompt_tokens - hit_tokens),
            other_ms,
            hit_tokens,
        )


def _route(
    site: Endpoint,
    explanation: str,
    prediction: Prediction | None = None,
) -> Route:
    return Route(
        upstream=site.upstream.name,
        address=site.upstream.address,
        failure_domain=site.upstream.failure_domain,
        explanation=explanation,
        version=site.version,
        predicted_first_token_ms=prediction.total_ms if prediction else 0,
        hit_tokens=prediction.hit_tokens if prediction else 0,
    )
