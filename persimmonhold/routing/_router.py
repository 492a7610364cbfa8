"""Chooses an upstream for a request.

Invariants: a route leads to a site of the target in the adopted view, never
to an upstream that is leaving, excluded or full, and to an ejected one only
where more than the permitted share of the target's sites is ejected.
"""

import random
from collections.abc import Sequence
from typing import Final, final

from persimmonhold.messages import CacheEventPage, ControlView, LoadReport
from persimmonhold.routing._attempt import Attempt
from persimmonhold.routing._attempt_outcome import AttemptOutcome
from persimmonhold.routing._endpoint import Endpoint
from persimmonhold.routing._endpoint_index import EndpointIndex
from persimmonhold.routing._poll_plan import PollPlan
from persimmonhold.routing._route import Route
from persimmonhold.routing._route_request import RouteRequest
from persimmonhold.routing._router_settings import RouterSettings
from persimmonhold.routing._site_chooser import SiteChooser
from persimmonhold.routing._subset import Subset, order_sites
from persimmonhold.routing._upstream_state import UpstreamState

_MS_PER_S: Final = 1000
_LEAST_ENDS_PER_S: Final = 0.01


@final
class Router:
    """The routing state of one entry."""

    __slots__ = (
        '_chooser',
        '_entry_name',
        '_failure_domain',
        '_poll_plan',
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
        random_source: random.Random,
    ) -> None:
        """Create a router without a view."""
        self.view = ControlView()
        self.endpoint_index = EndpointIndex(self.view)
        self.upstream_states: dict[str, UpstreamState] = {}
        self._failure_domain = own_failure_domain
        self._entry_name = entry_name
        self._poll_plan = PollPlan(settings)
        self._settings = settings
        self._chooser = SiteChooser(
            own_failure_domain,
            self.upstream_states,
            settings,
            random_source,
        )
        self._subsets: dict[str, Subset] = {}

    def apply_view(self, view: ControlView, now: float) -> None:
        """Route by a newer view from now on."""
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
        for target, sites in self.endpoint_index.endpoints.items():
            ordered = order_sites(self._entry_name, self._failure_domain, sites)
            subset = known.get(target) or Subset(ordered, self._settings)
            subset.arrange(ordered, now)
            self._subsets[target] = subset

    def apply_load_report(
        self,
        upstream: str,
        report: LoadReport,
        now: float,
    ) -> None:
        """Take a load report; one older than the last is ignored."""
        state = self.upstream_states.get(upstream)
        if state is None:
            return
        known = state.load.report
        if not state.load.observe(report, now):
            return
        state.health.leaving_by_report = report.leaving
        if known and known.boot_id != report.boot_id:
            state.health.restart(now)

    def set_leaving_in_vm_list(
        self,
        upstream: str,
        is_leaving: bool,
        now: float,
    ) -> None:
        """Take what the VM list says of an upstream."""
        state = self.upstream_states.get(upstream)
        if state:
            state.health.leaving_by_list = is_leaving

    def record_refused_connection(self, upstream: str, now: float) -> None:
        """Take a refused connection as a sign of leaving."""
        state = self.upstream_states.get(upstream)
        if state:
            state.health.lose(now)

    def apply_cache_events(
        self,
        upstream: str,
        page: CacheEventPage,
        now: float,
    ) -> None:
        """Take a page of cache events."""
        state = self.upstream_states.get(upstream)
        if state:
            state.prefixes.apply_events(page)

    def choose_route(self, request: RouteRequest, now: float) -> Route | None:
        """Return a route, or None where no upstream can serve now."""
        subset = self._subsets.get(request.target)
        if subset is None:
            return None
        usable = self._usable(subset.sites, request, now)
        if not usable:
            usable = self._usable(subset.ordered, request, now)
        free = [site for site in usable if _name(site) not in request.full]
        if usable and not free and subset.grow():
            return self.choose_route(request, now)
        if not free:
            return None
        if request.is_service:
            return self._chooser.choose_replica(free)
        return self._chooser.choose_engine(free, request, now)

    def has_reachable_endpoint(self, target: str, now: float) -> bool:
        """Tell whether an upstream that serves a target can be reached."""
        return any(
            self.upstream_states[_name(site)].health.is_reachable(now)
            for site in self.endpoint_index.endpoints.get(target, ())
        )

    def is_exhausted(self, target: str, excluded: frozenset[str]) -> bool:
        """Tell whether every upstream that serves a target is excluded."""
        sites = self.endpoint_index.endpoints.get(target, ())
        if not sites or self.is_loading(target):
            return False
        return all(_name(site) in excluded for site in sites)

    def is_loading(self, target: str) -> bool:
        """Tell whether a copy of a target is being loaded or moved."""
        return target in self.endpoint_index.loading

    def slots(self, upstream: str) -> int:
        """Return the number of requests in one batch of an upstream."""
        state = self.upstream_states.get(upstream)
        return state.load.slots if state else self._settings.default_slots

    def target_subset(self, target: str) -> list[str]:
        """Return the upstreams of the entry's subset for a target."""
        subset = self._subsets.get(target)
        return [_name(site) for site in subset.sites] if subset else []

    def wait_ms(self, upstream: str, now: float) -> float:
        """Return the believed wait for a place at an upstream."""
        state = self.upstream_states.get(upstream)
        return state.load.wait_ms(now) if state else 0

    def idle_first_token_s(self, request: RouteRequest) -> float:
        """Return the time to the first token at an idle upstream."""
        sites = self.endpoint_index.endpoints.get(request.target)
        if request.is_service or not sites:
            return 0
        load = self.upstream_states[_name(sites[0])].load
        idle_ms = load.prompt_ms(request.prompt_tokens) + load.idle_step_ms()
        return idle_ms / _MS_PER_S

    def mean_completion_interval_s(self, target: str) -> float:
        """Return the time between two ends at the upstreams of a target."""
        sites = self.endpoint_index.endpoints.get(target, ())
        loads = [self.upstream_states[_name(site)].load for site in sites]
        per_second = sum(load.slots / load.residence_s for load in loads)
        return 1 / max(per_second, _LEAST_ENDS_PER_S)

    def subset_upstreams(self, now: float) -> frozenset[str]:
        """Return the upstreams that this entry polls and connects to."""
        names: set[str] = set()
        for subset in self._subsets.values():
            subset.resize(now)
            names.update(_name(site) for site in subset.sites)
        return frozenset(names)

    def schedule_polls(self, now: float) -> tuple[str, ...]:
        """Return the engines whose load to fetch now, within the budget."""
        upstreams = self.endpoint_index.upstreams
        engines = [
            name
            for name in self.subset_upstreams(now)
            if upstreams[name].is_engine
        ]
        return self._poll_plan.due(engines, self.upstream_states, now)

    def record_attempt_start(
        self,
        route: Route,
        request: RouteRequest,
        now: float,
    ) -> Attempt:
        """Count an attempt along a route."""
        state = self.upstream_states.get(route.upstream)
        subset = self._subsets.get(request.target)
        if state:
            state.load.start(now, request.prompt_tokens - route.hit_tokens)
            state.health.start()
        if subset:
            subset.add(1, now)
        return Attempt(route, request, state, subset, now)

    def record_first_token(self, attempt: Attempt, now: float) -> None:
        """Learn from the first token of an attempt."""
        state = attempt.state
        if attempt.first_token_at is not None or state is None:
            return
        attempt.first_token_at = now
        state.load.pending_prefill_tokens -= attempt.prefill_tokens
        state.prefixes.confirm(attempt.request.prefix_hashes)
        seen_ms = (now - attempt.started_at) * _MS_PER_S
        predicted_ms = attempt.route.predicted_first_token_ms
        state.load.learn(now, predicted_ms, seen_ms)
        ratio = seen_ms / max(predicted_ms, state.load.idle_step_ms())
        state.health.learn_slowness(now, ratio, seen_ms - predicted_ms)

    def record_attempt_end(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Stop counting an attempt and learn from its end."""
        if attempt.subset:
            attempt.subset.add(-1, now)
        state = attempt.state
        if state is None:
            return
        if attempt.first_token_at is None:
            state.load.pending_prefill_tokens -= attempt.prefill_tokens
        state.load.end(now, attempt.started_at)
        if outcome is AttemptOutcome.connect_failed:
            state.health.lose(now)
        if outcome.is_failure:
            state.health.fail(now)
        elif outcome is AttemptOutcome.completed:
            state.health.succeed(now)
        else:
            state.health.cancel()

    def _usable(
        self,
        sites: Sequence[Endpoint],
        request: RouteRequest,
        now: float,
    ) -> list[Endpoint]:
        reachable = [
            site
            for site in sites
            if self.upstream_states[site.upstream.name].health.is_reachable(now)
        ]
        barred = self._ejected(reachable, now) | request.excluded
        return [site for site in reachable if _name(site) not in barred]

    def _ejected(self, sites: list[Endpoint], now: float) -> frozenset[str]:
        """Return the ejected sites, no more than the permitted share."""
        ejected = [
            site.upstream.name
            for site in sites
            if self.upstream_states[site.upstream.name].health.is_ejected(now)
        ]
        permitted = int(len(sites) * self._settings.max_ejected_fraction)
        if len(ejected) > permitted:
            ejected.sort(key=self._badness)
            ejected = ejected[len(ejected) - permitted :]
        return frozenset(ejected)

    def _badness(self, upstream: str) -> tuple[int, float, str]:
        health = self.upstream_states[upstream].health
        return health.failures, health.ejected_until, upstream


def _name(site: Endpoint) -> str:
    return site.upstream.name
