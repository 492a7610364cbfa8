"""Decides which of the upstreams that can accept a request is preferred.

Invariant: it only orders the upstreams that it is given. Whether one of them
may accept the request is decided elsewhere.
"""

import math
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, final

from persimmonhold.fleet._dispatch_request import DispatchRequest
from persimmonhold.fleet._first_event import (
    forecast_first_event,
    predict_first_event_s,
    predict_response_s,
)
from persimmonhold.fleet._first_event_forecast import FirstEventForecast
from persimmonhold.fleet._prompt_keys import PromptKeys
from persimmonhold.fleet._prompt_memory import CachedPrompt, PromptMemory
from persimmonhold.fleet._prompt_popularity import PromptPopularity
from persimmonhold.fleet._rendezvous import RANKS, rendezvous_rank
from persimmonhold.fleet._speed_sums import SpeedSums
from persimmonhold.fleet._upstream_groups import UpstreamGroups
from persimmonhold.fleet._upstream_option import UpstreamOption
from persimmonhold.fleet._upstream_tracker import UpstreamTracker
from persimmonhold.fleet._usual_speeds import UsualSpeeds

_ADAPTER_ORDER_S: Final = 0.08  # penalty for an order to load the adapter
_PERMIT_S: Final = 0.005  # penalty for the round trip to request a permit
# Part of a score that differs between upstreams, in seconds. All entries see
# the same loads; without it they would all choose the same upstream.
_JITTER_S: Final = 0.04
_HALF: Final = 0.5
# Penalty for the share of slots in use above `_CROWDED`. Without it, an upstream
# that many prompts prefer would fill its batch while others are idle, which
# makes each of its responses several times as slow. Below that share it would
# draw all entries to the upstream that last looked idle.
_CROWDING_S: Final = 0.2
_CROWDED: Final = 0.5
# Probability that the upstream which all entries prefer has cached the shared
# parts of a prompt that this entry has not sent there.
_ASSUMED_CERTAINTY: Final = 0.7
# Another failure domain has to be better by this share of the target.
_DOMAIN_SHARE: Final = 0.05
_MS_PER_S: Final = 1000
# An upstream below this share of the usual speed is tried now and then, as it
# is hardly chosen otherwise.
_SLOW_SHARE: Final = 0.7
_TRIAL_PROBABILITY: Final = 0.01
_TRIAL_AFTER_S: Final = 0.5  # without an observation


@final
class UpstreamPreference:
    """Scores upstreams in seconds to the first event, and picks the best.

    `is_learning` enables the prompt caches and the learned speeds; it is never
    set unless `may_learn`. `prefers_own_domain` enables the preference of
    `failure_domain`.
    `entry_count` entries share the upstreams. `observed` are those that this
    entry has learned of since its last report.
    """

    __slots__ = (
        'entry_count',
        'failure_domain',
        'is_learning',
        'may_learn',
        'memory',
        'observed',
        'popularity',
        'prefers_own_domain',
        'rng',
        'usual_speeds',
    )

    def __init__(
        self,
        failure_domain: str,
        groups: UpstreamGroups,
        rng: random.Random,
        *,
        is_learning: bool,
    ) -> None:
        """Create the preference of an entry that has sent nothing.

        `is_learning` tells whether it may learn.
        """
        self.entry_count = 1
        self.failure_domain = failure_domain
        self.is_learning = is_learning
        self.may_learn = is_learning
        self.prefers_own_domain = True
        self.memory = PromptMemory()
        self.observed: set[str] = set()
        self.popularity = PromptPopularity()
        self.rng = rng
        self.usual_speeds = UsualSpeeds(groups)

    def configure(self, entry_count: int, *, is_enabled: bool) -> None:
        """Apply the number of entries, and what the configuration enables."""
        self.entry_count = entry_count
        self.is_learning = is_enabled and self.may_learn
        self.prefers_own_domain = is_enabled

    def choose(
        self,
        request: DispatchRequest,
        keys: PromptKeys | None,
        options: Sequence[UpstreamOption],
        usual_s: float,
        now: float,
    ) -> UpstreamOption | None:
        """Return the best option, or None if there is none.

        `keys` are those of the request's prompt. An upstream of a plain service
        that was not tried lately is expected to respond in `usual_s`.
        """
        if not options:
            return None
        if request.is_engine and self.is_learning:
            self._forecast_engines(request, keys, options, now)
        else:
            self._predict(request, options, usual_s, now)
        for option in options:
            _add_penalties(option)
        if request.is_engine and self.is_learning:
            self._adjust_learned(keys, options, now)
        target_s = request.route.target_ms / _MS_PER_S
        return self._pick_best(options, target_s)

    def apply_speeds(
        self,
        speeds: Iterable[SpeedSums],
        trackers: Mapping[str, UpstreamTracker],
        now: float,
    ) -> None:
        """Apply prefill speeds that all entries have observed."""
        if not self.is_learning:
            return
        for sums in speeds:
            tracker = trackers.get(sums.upstream)
            if tracker is not None:
                tracker.learned.state_speed(sums, now)

    def record_sent(
        self, request: DispatchRequest, keys: PromptKeys | None, now: float
    ) -> None:
        """Count a request that is sent to an upstream for the first time."""
        if self.is_learning and request.is_engine and keys is not None:
            self.popularity.record_sent(keys.shared, now)

    def record_read(
        self, keys: PromptKeys | None, upstream: str, now: float
    ) -> None:
        """Record that an upstream has read a prompt of this entry."""
        if not self.is_learning:
            return
        self.observed.add(upstream)
        if keys is not None:
            self.memory.record_read(keys, upstream, now)

    def pop_observed(self) -> list[str]:
        """Return the upstreams that were observed since the last call."""
        observed = sorted(self.observed)
        self.observed.clear()
        return observed

    def _predict(
        self,
        request: DispatchRequest,
        options: Sequence[UpstreamOption],
        usual_s: float,
        now: float,
    ) -> None:
        """Set the forecasts without what was learned of prompts."""
        for option in options:
            expected_s = (
                predict_first_event_s(
                    option.tracker,
                    request,
                    self.failure_domain,
                    now,
                    needs_adapter=option.needs_adapter,
                )
                if request.is_engine
                else predict_response_s(
                    option.tracker.response_times, usual_s, now
                )
            )
            option.forecast = FirstEventForecast(expected_s)
            option.spread_s = _JITTER_S * self.rng.random()

    def _forecast_engines(
        self,
        request: DispatchRequest,
        keys: PromptKeys | None,
        options: Sequence[UpstreamOption],
        now: float,
    ) -> None:
        """Set the forecasts from learned speeds and prompt caches."""
        if keys is None:
            for option in options:
                option.spread_s = _JITTER_S * self.rng.random()
        else:
            self._find_cached(request.profile.model, keys, options, now)
        usual_per_s = self.usual_speeds.find_per_s(request.service, now)
        for engine in options:
            engine.forecast = forecast_first_event(
                engine.tracker,
                request,
                self.failure_domain,
                engine.tracker.learned.estimate_per_s(usual_per_s, now),
                engine.cached,
                now,
                needs_adapter=engine.needs_adapter,
            )

    def _find_cached(
        self,
        model: str,
        keys: PromptKeys,
        options: Sequence[UpstreamOption],
        now: float,
    ) -> None:
        """Set what is expected to be cached, and how strongly it attracts."""
        learned = {
            option.tracker.facts.name: option.tracker.learned
            for option in options
        }
        found = self.memory.find_cached(
            keys,
            lambda name: (
                learned[name].cached_since(model)
                if name in learned
                else math.inf
            ),
            now,
        )
        for option in options:
            name = option.tracker.facts.name
            option.cached = found.get(name, option.cached)
            option.rank = rendezvous_rank(
                keys.shared, option.tracker.learned.name_hash
            )
            # The same at all entries, so that the order is, too.
            option.spread_s = _JITTER_S * (1 - _HALF * option.rank / RANKS)
        session = self.memory.find_session(keys)
        for group in self._group_by_domain(options):
            self._attract(keys, group, session if session in found else '', now)

    def _attract(
        self,
        keys: PromptKeys,
        options: Sequence[UpstreamOption],
        session: str,
        now: float,
    ) -> None:
        """Have the upstreams preferred that should have cached a prompt.

        That is the one that last read the whole prompt, `session`, or those
        that all entries of their failure domain prefer for the shared parts.
        """
        count = self.popularity.count_upstreams(
            keys.shared, self.entry_count, now
        )
        eligible = [one for one in options if not one.needs_adapter] or options
        first = sorted(eligible, key=lambda one: one.rank, reverse=True)[:count]
        assumed = CachedPrompt(_ASSUMED_CERTAINTY * keys.shared_tokens)
        for option in first:
            if option.cached.tokens < assumed.tokens:
                option.cached = assumed
        stays = [one for one in options if one.tracker.facts.name == session]
        for preferred in stays or first:
            is_shared = len(first) > 1 and not stays
            preferred.spread_s = (
                _JITTER_S * self.rng.random() if is_shared else 0
            )

    def _group_by_domain(
        self, options: Sequence[UpstreamOption]
    ) -> tuple[list[UpstreamOption], ...]:
        """Return the upstreams of the own failure domain, and the others.

        All together, if the own domain is not preferred.
        """
        if not self.prefers_own_domain:
            return (list(options),)
        near: list[UpstreamOption] = []
        far: list[UpstreamOption] = []
        for option in options:
            domain = option.tracker.facts.failure_domain
            (near if domain == self.failure_domain else far).append(option)
        return tuple(group for group in (near, far) if group)

    def _adjust_learned(
        self,
        keys: PromptKeys | None,
        options: Sequence[UpstreamOption],
        now: float,
    ) -> None:
        """Add the penalty for crowding, and choose slow upstreams for trials."""
        usual_per_s = self.usual_speeds.find_per_s(
            options[0].tracker.facts.service, now
        )
        for option in options:
            tracker = option.tracker
            if keys is not None:
                running = tracker.total_running(now)
                slots = max(1, tracker.facts.slots)
                option.score += _CROWDING_S * max(0, running / slots - _CROWDED)
            is_slow = option.forecast.tokens_per_s < _SLOW_SHARE * usual_per_s
            if (
                is_slow
                and now - tracker.learned.observed_at > _TRIAL_AFTER_S
                and self.rng.random() < _TRIAL_PROBABILITY
            ):
                option.score = 0
                option.spread_s = 0

    def _pick_best(
        self, options: Sequence[UpstreamOption], target_s: float
    ) -> UpstreamOption:
        """Return the best option, in the own failure domain if nearly equal."""
        best = [
            min(group, key=lambda one: one.spread_score)
            for group in self._group_by_domain(options)
        ]
        nearest = best[0]
        farthest = best[-1]
        if nearest.score - farthest.score > _DOMAIN_SHARE * target_s:
            return farthest
        return nearest


def _add_penalties(option: UpstreamOption) -> None:
    """Set the score: the expected first event, and what may delay it."""
    tracker = option.tracker
    expected_s = option.forecast.expected_s
    option.score = (
        expected_s
        + tracker.failure_rate * expected_s
        + _ADAPTER_ORDER_S * option.needs_adapter
        + _PERMIT_S * (tracker.limit.per_s is not None)
    )
