"""Chooses among the usable endpoints of a target.

A request for a model goes to the best of two random endpoints and the endpoint
that is expected to have most of its prompt cached, by the predicted time to
the first token. Random sampling keeps entries that see the same outdated
reports from all choosing the least loaded upstream.
"""

import random
from collections.abc import Mapping
from typing import Final, final

from persimmonhold.routing._endpoint import Endpoint
from persimmonhold.routing._first_token_prediction import FirstTokenPrediction
from persimmonhold.routing._route import Route
from persimmonhold.routing._route_request import RouteRequest
from persimmonhold.routing._router_settings import RouterSettings
from persimmonhold.routing._upstream_state import UpstreamState

_HEX_BASE: Final = 16
# Number of endpoints that are drawn at random for one request.
_SAMPLE_SIZE: Final = 2
# Maximum number of samples that are drawn until one contains an endpoint that
# is not left out because it is warming up.
_MAX_SAMPLING_ROUNDS: Final = 8


@final
class EndpointChooser:
    """Chooses the best of a few random endpoints for each request."""

    __slots__ = ('_failure_domain', '_rng', '_settings', '_states')

    def __init__(
        self,
        failure_domain: str,
        states: Mapping[str, UpstreamState],
        settings: RouterSettings,
        rng: random.Random,
    ) -> None:
        """Create a chooser that reads the given states."""
        self._failure_domain = failure_domain
        self._states = states
        self._settings = settings
        self._rng = rng

    def choose_replica(self, usable: list[Endpoint]) -> Route:
        """Return a route to a plain service.

        Chooses the less loaded of two random replicas. They are drawn from
        this entry's failure domain if any replica there has fewer than
        `local_service_max_in_flight` requests of this entry in flight.
        """
        local = [
            endpoint
            for endpoint in usable
            if self._is_local_with_room(endpoint)
        ]
        pool = local or usable
        sampled = self._sample_pair(pool)
        chosen = min(sampled, key=self._requests_in_flight)
        outstanding = self._requests_in_flight(chosen)
        return _build_route(
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
        blocks = [int(text, _HEX_BASE) for text in request.prefix_hashes]
        sampled = self._sample_candidates(usable, blocks, now)
        predictions = [
            self._predict_first_token(endpoint, request, blocks, now)
            for endpoint in sampled
        ]
        order = sorted(
            range(len(sampled)),
            key=lambda position: predictions[position].total_ms,
        )
        chosen, prediction = sampled[order[0]], predictions[order[0]]
        return _build_route(
            chosen,
            f'{prediction.describe()}; best of {len(sampled)} sampled '
            f'out of {len(usable)}',
            prediction,
        )

    def _is_local_with_room(self, endpoint: Endpoint) -> bool:
        """Return whether a replica is preferred to those in other domains.

        True if it is in this entry's failure domain and has fewer than
        `local_service_max_in_flight` requests of this entry in flight.
        """
        if endpoint.upstream.failure_domain != self._failure_domain:
            return False
        allowance = self._settings.local_service_max_in_flight
        return self._requests_in_flight(endpoint) < allowance

    def _requests_in_flight(self, endpoint: Endpoint) -> int:
        return self._states[endpoint.upstream.name].load.in_flight

    def _sample_candidates(
        self,
        usable: list[Endpoint],
        blocks: list[int],
        now: float,
    ) -> list[Endpoint]:
        """Return the endpoints to compare for a request.

        These are a random sample and the endpoint with the most cached blocks
        of the prompt, if any endpoint has cached some.
        """
        sampled = self._sample_by_weight(usable, now)
        if blocks and len(usable) > _SAMPLE_SIZE:
            holder = max(
                usable,
                key=lambda endpoint: self._count_cached_blocks(
                    endpoint, blocks
                ),
            )
            if holder not in sampled and self._count_cached_blocks(
                holder, blocks
            ):
                sampled.append(holder)
        return sampled

    def _sample_by_weight(
        self,
        usable: list[Endpoint],
        now: float,
    ) -> list[Endpoint]:
        """Return one or two random endpoints.

        An endpoint that is warming up is left out with a probability that
        falls as its warm-up proceeds. If this leaves out every endpoint in
        `_MAX_SAMPLING_ROUNDS` samples, returns the last sample unfiltered.
        """
        drawn = usable
        for _ in range(_MAX_SAMPLING_ROUNDS):
            drawn = self._sample_pair(usable)
            kept = [
                endpoint
                for endpoint in drawn
                if self._passes_warm_up_draw(endpoint, now)
            ]
            if kept:
                return kept
        return drawn

    def _sample_pair(self, usable: list[Endpoint]) -> list[Endpoint]:
        """Return up to two different endpoints in random order."""
        count = len(usable)
        if count == 1:
            return usable
        first = int(self._rng.random() * count)
        second = int(self._rng.random() * (count - 1))
        if second >= first:
            second += 1
        return [usable[first], usable[second]]

    def _passes_warm_up_draw(self, endpoint: Endpoint, now: float) -> bool:
        """Draw at random whether to keep an endpoint in a sample.

        The probability of True is the warm-up weight of the upstream, which is
        1 unless the upstream is warming up.
        """
        weight = self._states[endpoint.upstream.name].health.warm_up_weight(now)
        return weight >= 1 or self._rng.random() < weight

    def _count_cached_blocks(
        self, endpoint: Endpoint, blocks: list[int]
    ) -> int:
        return self._states[
            endpoint.upstream.name
        ].prefix_index.count_cached_blocks(blocks)

    def _predict_first_token(
        self,
        endpoint: Endpoint,
        request: RouteRequest,
        blocks: list[int],
        now: float,
    ) -> FirstTokenPrediction:
        """Predict the time from sending the request to its first token."""
        load = self._states[endpoint.upstream.name].load
        held_tokens = (
            self._count_cached_blocks(endpoint, blocks)
            * self._settings.prefix_block_tokens
        )
        cached_tokens = min(held_tokens, request.prompt_tokens)
        other_ms = load.decode_step_ms(now) + load.positive_error_ms(now)
        if endpoint.upstream.failure_domain != self._failure_domain:
            other_ms += self._settings.cross_domain_latency_ms
        if not endpoint.is_current:
            other_ms += self._settings.old_version_penalty_ms
        return FirstTokenPrediction(
            load.slot_wait_ms(now),
            load.prefill_with_backlog_ms(request.prompt_tokens - cached_tokens),
            other_ms,
            cached_tokens,
        )


def _build_route(
    endpoint: Endpoint,
    explanation: str,
    prediction: FirstTokenPrediction | None = None,
) -> Route:
    return Route(
        upstream=endpoint.upstream.name,
        address=endpoint.upstream.address,
        failure_domain=endpoint.upstream.failure_domain,
        explanation=explanation,
        version=endpoint.version,
        predicted_first_token_ms=prediction.total_ms if prediction else 0,
        cached_tokens=prediction.cached_tokens if prediction else 0,
    )
