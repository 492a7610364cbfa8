"""Chooses an upstream for a request.

Invariants: a route leads to an endpoint of the target in the current view,
never to an upstream that is leaving, excluded or full, and to an ejected one
only where more than `max_ejected_fraction` of the target's reachable endpoints
are ejected.
"""

import random
from collections.abc import Sequence
from typing import Final, final

from persimmonhold.messages import CacheEventPage, ControlView, LoadReport
from persimmonhold.routing._attempt import Attempt
from persimmonhold.routing._attempt_outcome import AttemptOutcome
from persimmonhold.routing._endpoint import Endpoint
from persimmonhold.routing._endpoint_chooser import EndpointChooser
from persimmonhold.routing._endpoint_index import EndpointIndex
from persimmonhold.routing._poll_scheduler import PollScheduler
from persimmonhold.routing._route import Route
from persimmonhold.routing._route_request import RouteRequest
from persimmonhold.routing._router_settings import RouterSettings
from persimmonhold.routing._subset import (
    EndpointSubset,
    rank_endpoints,
)
from persimmonhold.routing._upstream_state import UpstreamState

_MS_PER_S: Final = 1000
# Assumed completion rate of a target that no upstream serves; prevents a
# division by zero.
_MIN_COMPLETIONS_PER_S: Final = 0.01


@final
class Router:
    """The routing state of one entry.

    Applies control views, load reports, cache events and the results of
    attempts, and chooses routes by them.
    """

    __slots__ = (
        '_chooser',
        '_entry_name',
        '_failure_domain',
        '_poll_scheduler',
        '_settings',
        '_subsets',
        'endpoint_index',
        'upstream_states',
        'view',
    )

    def __init__(
        self,
        own_failure_domain: str,
        entry_name: str,
        settings: RouterSettings,
        rng: random.Random,
    ) -> None:
        """Create a router without a view."""
        self.view = ControlView()
        self.endpoint_index = EndpointIndex(self.view)
        self.upstream_states: dict[str, UpstreamState] = {}
        self._failure_domain = own_failure_domain
        self._entry_name = entry_name
        self._poll_scheduler = PollScheduler(settings)
        self._settings = settings
        self._chooser = EndpointChooser(
            own_failure_domain,
            self.upstream_states,
            settings,
            rng,
        )
        self._subsets: dict[str, EndpointSubset] = {}

    def apply_view(self, view: ControlView, now: float) -> None:
        """Replace the control view; upstreams that remain keep their state."""
        self.view = view
        self.endpoint_index = EndpointIndex(view)
        for gone in (
            self.upstream_states.keys() - self.endpoint_index.upstreams.keys()
        ):
            self.upstream_states.pop(gone)
        for new in (
            self.endpoint_index.upstreams.keys() - self.upstream_states.keys()
        ):
            self.upstream_states[new] = UpstreamState(self._settings)
        known = self._subsets
        self._subsets = {}
        for (
            target,
            endpoints,
        ) in self.endpoint_index.endpoints_by_target.items():
            ranked = rank_endpoints(
                self._entry_name, self._failure_domain, endpoints
            )
            subset = known.get(target) or EndpointSubset(ranked, self._settings)
            subset.update_endpoints(ranked, now)
            self._subsets[target] = subset

    def apply_load_report(
        self,
        upstream: str,
        report: LoadReport,
        now: float,
    ) -> None:
        """Apply a load report; one older than the last is ignored.

        A report with a new boot id clears the health of the upstream.
        """
        state = self.upstream_states.get(upstream)
        if state is None:
            return
        known = state.load.report
        if not state.load.apply_report(report, now):
            return
        state.health.is_leaving_by_report = report.leaving
        if known and known.boot_id != report.boot_id:
            state.health.reset_after_restart(now)

    def set_leaving_in_vm_list(
        self,
        upstream: str,
        is_leaving: bool,
        now: float,
    ) -> None:
        """Record whether the VM list says that an upstream is leaving."""
        state = self.upstream_states.get(upstream)
        if state:
            state.health.is_leaving_in_vm_list = is_leaving

    def record_refused_connection(self, upstream: str, now: float) -> None:
        """Pause requests to an upstream that refused a connection."""
        state = self.upstream_states.get(upstream)
        if state:
            state.health.pause_unreachable(now)

    def apply_cache_events(
        self,
        upstream: str,
        page: CacheEventPage,
        now: float,
    ) -> None:
        """Apply a page of cache events to the prefix index of an upstream."""
        state = self.upstream_states.get(upstream)
        if state:
            state.prefix_index.apply_events(page)

    def choose_route(self, request: RouteRequest, now: float) -> Route | None:
        """Return a route, or None if no upstream accepts the request now.

        Considers the endpoints outside this entry's subset for the target only
        if no endpoint in the subset is usable. If all usable endpoints are
        full, enlarges the subset by one endpoint at a time.
        """
        subset = self._subsets.get(request.target)
        if subset is None:
            return None
        usable = self._filter_usable_endpoints(subset.endpoints, request, now)
        if not usable:
            usable = self._filter_usable_endpoints(
                subset.ranked_endpoints, request, now
            )
        free = [
            endpoint
            for endpoint in usable
            if _upstream_name(endpoint) not in request.full_upstreams
        ]
        if usable and not free and subset.try_grow():
            return self.choose_route(request, now)
        if not free:
            return None
        if request.is_service:
            return self._chooser.choose_replica(free)
        return self._chooser.choose_engine(free, request, now)

    def has_reachable_endpoint(self, target: str, now: float) -> bool:
        """Tell whether any upstream that serves a target is reachable."""
        return any(
            self.upstream_states[_upstream_name(endpoint)].health.is_reachable(
                now
            )
            for endpoint in self.endpoint_index.endpoints_by_target.get(
                target, ()
            )
        )

    def is_exhausted(self, target: str, excluded: frozenset[str]) -> bool:
        """Tell whether every upstream that serves a target is excluded.

        Returns False if the target has no endpoint, or has a copy in another
        state than serving, which may serve soon.
        """
        endpoints = self.endpoint_index.endpoints_by_target.get(target, ())
        if not endpoints or self.has_non_serving_copy(target):
            return False
        return all(
            _upstream_name(endpoint) in excluded for endpoint in endpoints
        )

    def has_non_serving_copy(self, target: str) -> bool:
        """Tell whether a copy of a target is loading or withdrawing."""
        return target in self.endpoint_index.targets_with_non_serving_copy

    def slot_count(self, upstream: str) -> int:
        """Return how many requests an upstream can run in one batch.

        For an unknown upstream, returns `default_slots`.
        """
        state = self.upstream_states.get(upstream)
        return state.load.slots if state else self._settings.default_slots

    def subset_upstream_names(self, target: str) -> list[str]:
        """Return the names of the upstreams in this entry's subset of a target.

        Returns an empty list for a target without endpoints.
        """
        subset = self._subsets.get(target)
        return (
            [_upstream_name(endpoint) for endpoint in subset.endpoints]
            if subset
            else []
        )

    def slot_wait_ms(self, upstream: str, now: float) -> float:
        """Return the estimated wait for a batch slot at an upstream."""
        state = self.upstream_states.get(upstream)
        return state.load.slot_wait_ms(now) if state else 0

    def idle_first_token_s(self, request: RouteRequest) -> float:
        """Return the estimated time to the first token at an idle upstream.

        Returns 0 for a plain service or a target without endpoints.
        """
        endpoints = self.endpoint_index.endpoints_by_target.get(request.target)
        if request.is_service or not endpoints:
            return 0
        load = self.upstream_states[_upstream_name(endpoints[0])].load
        idle_ms = (
            load.prompt_prefill_ms(request.prompt_tokens)
            + load.idle_decode_step_ms()
        )
        return idle_ms / _MS_PER_S

    def mean_completion_interval_s(self, target: str) -> float:
        """Return the mean time between two completions for a target.

        Counts the completions at all its upstreams and assumes that their
        batches are full.
        """
        endpoints = self.endpoint_index.endpoints_by_target.get(target, ())
        loads = [
            self.upstream_states[_upstream_name(endpoint)].load
            for endpoint in endpoints
        ]
        per_second = sum(load.slots / load.residence_s for load in loads)
        return 1 / max(per_second, _MIN_COMPLETIONS_PER_S)

    def resize_subsets(self, now: float) -> frozenset[str]:
        """Adjust the size of each target's subset to the present demand.

        Returns the names of the upstreams in all subsets, which are the
        upstreams that this entry polls and connects to.
        """
        names: set[str] = set()
        for subset in self._subsets.values():
            subset.resize(now)
            names.update(
                _upstream_name(endpoint) for endpoint in subset.endpoints
            )
        return frozenset(names)

    def schedule_polls(self, now: float) -> tuple[str, ...]:
        """Return the engines to poll now, and mark them as polled.

        To poll means to fetch a load report.
        """
        upstreams = self.endpoint_index.upstreams
        engines = [
            name
            for name in self.resize_subsets(now)
            if upstreams[name].is_engine
        ]
        return self._poll_scheduler.select_due(
            engines, self.upstream_states, now
        )

    def record_attempt_start(
        self,
        route: Route,
        request: RouteRequest,
        now: float,
    ) -> Attempt:
        """Count an attempt that starts on a route."""
        state = self.upstream_states.get(route.upstream)
        subset = self._subsets.get(request.target)
        if state:
            state.load.record_attempt_start(
                now, request.prompt_tokens - route.cached_tokens
            )
            state.health.record_attempt_start()
        if subset:
            subset.change_in_flight(1, now)
        return Attempt(route, request, state, subset, now)

    def record_first_token(self, attempt: Attempt, now: float) -> None:
        """Update load, health and prefix index from an attempt's first token.

        Only the first call for an attempt has an effect.
        """
        state = attempt.upstream_state
        if attempt.first_token_at is not None or state is None:
            return
        attempt.first_token_at = now
        state.load.pending_prefill_tokens -= attempt.prefill_tokens
        state.prefix_index.confirm_blocks(attempt.request.prefix_hashes)
        observed_ms = (now - attempt.started_at) * _MS_PER_S
        predicted_ms = attempt.route.predicted_first_token_ms
        state.load.record_first_token(now, predicted_ms, observed_ms)
        ratio = observed_ms / max(
            predicted_ms, state.load.idle_decode_step_ms()
        )
        state.health.record_latency(now, ratio, observed_ms - predicted_ms)

    def record_attempt_end(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Stop counting an attempt and update the upstream's health."""
        if attempt.subset:
            attempt.subset.change_in_flight(-1, now)
        state = attempt.upstream_state
        if state is None:
            return
        if attempt.first_token_at is None:
            state.load.pending_prefill_tokens -= attempt.prefill_tokens
        state.load.record_attempt_end(now, attempt.started_at)
        if outcome is AttemptOutcome.connect_failed:
            state.health.pause_unreachable(now)
        if outcome.is_failure:
            state.health.record_failure(now)
        elif outcome is AttemptOutcome.completed:
            state.health.record_success(now)
        else:
            state.health.record_cancellation()

    def _filter_usable_endpoints(
        self,
        endpoints: Sequence[Endpoint],
        request: RouteRequest,
        now: float,
    ) -> list[Endpoint]:
        """Return the endpoints that are reachable, not ejected or excluded."""
        reachable = [
            endpoint
            for endpoint in endpoints
            if self.upstream_states[endpoint.upstream.name].health.is_reachable(
                now
            )
        ]
        barred = (
            self._select_ejected_upstreams(reachable, now)
            | request.excluded_upstreams
        )
        return [
            endpoint
            for endpoint in reachable
            if _upstream_name(endpoint) not in barred
        ]

    def _select_ejected_upstreams(
        self, endpoints: list[Endpoint], now: float
    ) -> frozenset[str]:
        """Return the upstreams of `endpoints` to avoid because of ejection.

        They are at most `max_ejected_fraction` of the endpoints. If more are
        ejected, the ones with the fewest consecutive failures stay in use.
        """
        ejected = [
            endpoint.upstream.name
            for endpoint in endpoints
            if self.upstream_states[endpoint.upstream.name].health.is_ejected(
                now
            )
        ]
        permitted = int(len(endpoints) * self._settings.max_ejected_fraction)
        if len(ejected) > permitted:
            ejected.sort(key=self._ejection_priority)
            ejected = ejected[len(ejected) - permitted :]
        return frozenset(ejected)

    def _ejection_priority(self, upstream: str) -> tuple[int, float, str]:
        """Return the sort key of an ejected upstream.

        If too many upstreams are ejected, the ones with the lowest keys stay
        in use.
        """
        health = self.upstream_states[upstream].health
        return health.consecutive_failures, health.ejected_until, upstream


def _upstream_name(endpoint: Endpoint) -> str:
    return endpoint.upstream.name
