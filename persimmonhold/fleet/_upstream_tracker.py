"""Tracks the state of one upstream at an entry.

The facts and the load of other entries arrive with a delay; the requests of
this entry are known exactly. If an upstream refuses a request because it lacks
the model or adapter, it counts as lacking it for a while, even if facts, which
may be older, say otherwise.
"""

import math
from typing import Final, final

from persimmonhold.fleet._attempt_end import AttemptEnd
from persimmonhold.fleet._dispatch_request import DispatchRequest
from persimmonhold.fleet._first_event_forecast import FirstEventForecast
from persimmonhold.fleet._free_places import FreePlaces
from persimmonhold.fleet._fullness import Fullness
from persimmonhold.fleet._held_model import HeldModel
from persimmonhold.fleet._learned_engine import LearnedEngine
from persimmonhold.fleet._request_limit_view import RequestLimitView
from persimmonhold.fleet._request_profile import RequestProfile
from persimmonhold.fleet._response_times import ResponseTimes
from persimmonhold.fleet._shared_load import SharedLoad
from persimmonhold.fleet._slot_share import SlotShare
from persimmonhold.fleet._upstream_facts import UpstreamFacts
from persimmonhold.sparing import SparingView

# How long the facts are overridden after a model or adapter was found absent,
# or an adapter was loaded: reports lag by about 200 ms, and updates by 100 ms.
_ASSUMPTION_S: Final = 0.4
# How long no adapter is loaded at an upstream after a load there failed.
_ADAPTER_PAUSE_S: Final = 0.2
_FIRST_PAUSE_S: Final = 0.25  # first pause after a failure
_MAX_PAUSE_S: Final = 2.0
# The load of other entries is ignored when older than this. A new control
# leader sends it within a second.
_OTHER_LOAD_STALE_S: Final = 2.0
_FAILURE_SMOOTHING: Final = 0.2  # weight of the latest attempt
# These outcomes say nothing about the health of the upstream.
_NO_FAILURE: Final = frozenset((
    AttemptEnd.cancelled,
    AttemptEnd.limited,
    AttemptEnd.spared,
    AttemptEnd.unsent,
    AttemptEnd.withheld,
))
# An upstream with a higher failure rate is paused; a healthy one fails a few
# percent of requests.
_MAX_FAILURE_RATE: Final = 0.25


@final
class RunningRequest:
    """An attempt in progress at an upstream.

    `forecast` tells what was expected of an engine whose speed is learned from
    it. `is_trial` tells that response times learned before it are outdated.
    `is_overdue` tells that it has no response and counts as failed already.
    """

    __slots__ = (
        'adapter',
        'expected_s',
        'forecast',
        'has_response_begun',
        'is_overdue',
        'is_trial',
        'model',
        'started_at',
        'unread_tokens',
    )

    def __init__(
        self,
        profile: RequestProfile,
        started_at: float,
        expected_s: float,
        *,
        is_trial: bool,
    ) -> None:
        """Create an attempt whose prompt has not been read."""
        self.model = profile.model
        self.adapter = profile.adapter
        self.unread_tokens = profile.prompt_tokens
        self.started_at = started_at
        self.expected_s = expected_s
        self.forecast: FirstEventForecast | None = None
        self.has_response_begun = False
        self.is_overdue = False
        self.is_trial = is_trial


@final
class UpstreamTracker:
    """Facts, load and health of one upstream, as seen by one entry.

    `running` holds the attempts of this entry by request number.
    `absent_until` maps `MODEL` or `MODEL/ADAPTER` to the time until which it is
    assumed to be absent. `adapters_assumed_until` maps (model, adapter) to the
    time until which the adapter is assumed to be loaded. `failure_rate` is a
    moving average of the share of failed attempts. `limit` is its request
    limit, and `sparing` what it stated about new requests. No adapter is loaded
    there before `adapter_loads_paused_until`. The upstream gets no requests
    before `paused_until`, and `fullness` is what its refusals show. `learned`
    is what is known of how it reads prompts.
    """

    __slots__ = (
        'absent_until',
        'adapter_loads_paused_until',
        'adapters_assumed_until',
        'facts',
        'failure_rate',
        'free_places',
        'fullness',
        'learned',
        'limit',
        'other_load',
        'other_load_at',
        'pause_count',
        'paused_until',
        'response_times',
        'running',
        'sparing',
    )

    def __init__(self, facts: UpstreamFacts, sparing: SparingView) -> None:
        """Create the tracker of an upstream without requests."""
        self.facts = facts
        self.sparing = sparing
        self.running: dict[int, RunningRequest] = {}
        self.adapters_assumed_until: dict[tuple[str, str], float] = {}
        self.adapter_loads_paused_until = -math.inf
        self.failure_rate = 0.0
        self.fullness = Fullness()
        self.learned = LearnedEngine(facts.name)
        self.paused_until = -math.inf
        self.pause_count = 0
        self.response_times = ResponseTimes()
        self.absent_until: dict[str, float] = {}
        self.other_load = SharedLoad(facts.name, 0, 0)
        self.other_load_at = -math.inf
        self.free_places = FreePlaces(0, 0, 0)
        self.limit = RequestLimitView()

    @property
    def own_unread_tokens(self) -> int:
        """The prompt tokens of this entry that the upstream has not read."""
        return sum(
            one.unread_tokens
            for one in self.running.values()
            if not one.has_response_begun
        )

    @property
    def running_by_model(self) -> tuple[tuple[str, int], ...]:
        """The number of running requests of this entry by model."""
        counted: dict[str, int] = {}
        for one in self.running.values():
            counted[one.model] = counted.get(one.model, 0) + 1
        return tuple(counted.items())

    @property
    def running_adapters(self) -> tuple[tuple[str, str], ...]:
        """The (model, adapter) of each running request of this entry, once."""
        used = {
            (one.model, one.adapter)
            for one in self.running.values()
            if one.adapter
        }
        return tuple(sorted(used))

    def apply_facts(
        self, facts: UpstreamFacts, sparing: SparingView, now: float
    ) -> None:
        """Apply newer facts; reset the record of a restarted process.

        `sparing` is the view of the process that they describe.
        """
        self.sparing = sparing
        if facts.born_ms != self.facts.born_ms:
            self.limit = RequestLimitView()
            self.failure_rate = 0
            self.fullness = self.fullness.restart(now)
            self.pause_count = 0
            self.paused_until = -math.inf
            self.response_times.last_attempt_at = -math.inf
            self.adapters_assumed_until.clear()
            self.learned.restart(now)
        for held in self.facts.models:
            if facts.find_model(held.name) is None:
                self.learned.drop_model(held.name, now)
        self.facts = facts
        self.limit.apply_facts(facts.limit_per_s, now)
        self.fullness.brittleness.apply_facts(facts.refusals_per_s, now)

    def apply_other_load(
        self,
        load: SharedLoad | None,
        draw: float,
        now: float,
    ) -> None:
        """Apply the load of the other entries; None means no load.

        `draw` is a random number from 0 to 1, see `FreePlaces`.
        """
        self.other_load = load or SharedLoad(self.facts.name, 0, 0)
        self.other_load_at = now
        own = len(self.running)
        total = self.other_load.running + own
        free = max(0, self.facts.slots - total)
        self.free_places = FreePlaces(free, own, draw, total)

    def total_running(self, now: float) -> int:
        """Return the estimated number of requests at the upstream."""
        return len(self.running) + self._fresh_other_load(now).running

    def total_unread_tokens(self, now: float) -> int:
        """Return the estimated number of prompt tokens not read yet."""
        return (
            self.own_unread_tokens + self._fresh_other_load(now).unread_tokens
        )

    def is_full(self, now: float) -> bool:
        """Tell whether refusals show that the upstream is full."""
        if not self.fullness.count:
            return False
        last_unanswered_at = max(
            (
                one.started_at
                for one in self.running.values()
                if not one.has_response_begun
            ),
            default=-math.inf,
        )
        return self.fullness.is_in_force(last_unanswered_at, now)

    def has_free_place(self, share: SlotShare, now: float) -> bool:
        """Tell whether this entry's share of the free slots has one left.

        Without a recent update, the entry is not held to its share.
        """
        if now - self.other_load_at > _OTHER_LOAD_STALE_S:
            return True
        return self.free_places.allows_another(len(self.running), share)

    def is_available(self, now: float) -> bool:
        """Tell whether the upstream can be sent new requests.

        One that does not answer report requests still can, unless failed
        attempts have paused it since its last complete response.
        """
        if self.facts.is_leaving or self.sparing.is_spared(now):
            return False
        return not self._is_paused(now)

    def find_model(self, model: str, now: float) -> HeldModel | None:
        """Return the model if it is expected to be available, or None."""
        if now < self.absent_until.get(model, -math.inf):
            return None
        held = self.facts.find_model(model)
        return None if held is None or held.is_retiring else held

    def has_adapter(self, held: HeldModel, adapter: str, now: float) -> bool:
        """Tell whether an adapter is expected to be loaded."""
        key = (held.name, adapter)
        if now < self.absent_until.get('/'.join(key), -math.inf):
            return False
        return (
            adapter in held.adapters
            or now < self.adapters_assumed_until.get(key, 0)
        )

    def can_load_adapter(self, now: float) -> bool:
        """Tell whether an adapter load is expected to be accepted."""
        return (
            not self.facts.is_changing
            and now >= self.adapter_loads_paused_until
        )

    def record_adapter_loaded(
        self, model: str, adapter: str, now: float
    ) -> None:
        """Assume for `_ASSUMPTION_S` that an adapter is loaded.

        By then, a report of the upstream should have updated the facts.
        """
        self.adapters_assumed_until[model, adapter] = now + _ASSUMPTION_S
        self.absent_until.pop(f'{model}/{adapter}', None)

    def record_attempt_start(
        self,
        request: DispatchRequest,
        expected_s: float,
        now: float,
        forecast: FirstEventForecast | None = None,
    ) -> None:
        """Record the start of an attempt.

        `forecast` is set if the first event shows the speed of the upstream.
        """
        profile = request.profile
        times = self.response_times
        is_trial = not request.is_engine and times.is_untried(now)
        self.running[request.number] = RunningRequest(
            profile, now, expected_s, is_trial=is_trial
        )
        self.running[request.number].forecast = forecast
        if is_trial and not times.has_been_tried:
            times.replace(expected_s)
        if not request.is_engine:
            times.last_attempt_at = now
        if self.limit.per_s is not None:
            self.limit.asking_number = request.number
        if self.fullness.brittleness.per_s is not None:
            self.fullness.brittleness.asking_number = request.number

    def record_first_byte(self, request_number: int, now: float) -> None:
        """Record the first byte of a response, and update the slowdown."""
        running = self.running.get(request_number)
        if running is None or running.has_response_begun:
            return
        running.has_response_begun = True
        self.fullness.record_free_slot()
        self._end_trial(running)
        self.response_times.record_first_byte(
            now - running.started_at, running.expected_s
        )
        if running.forecast is not None:
            self.learned.record_first_event(
                running.forecast, now - running.started_at, now
            )

    def record_overdue(self, request_number: int, now: float) -> None:
        """Record that an attempt has no response long after it was due."""
        running = self.running.get(request_number)
        if running is not None:
            self._record_failure(running, AttemptEnd.silent, now)
            running.is_overdue = True

    def record_attempt_end(
        self,
        request: DispatchRequest,
        outcome: AttemptEnd,
        now: float,
    ) -> None:
        """Record the end of an attempt, and update the health record."""
        self.limit.cancel_request(request.number)
        self.fullness.brittleness.cancel_request(request.number)
        running = self.running.pop(request.number, None)
        if running is None:
            return
        if running.has_response_begun:
            self.fullness.record_free_slot()
        if outcome is AttemptEnd.unsent:
            self.adapter_loads_paused_until = now + _ADAPTER_PAUSE_S
            return
        if outcome is AttemptEnd.answered:
            self._end_trial(running)
            self.response_times.record_answer(now - running.started_at)
            self.pause_count = 0
            self.failure_rate -= _FAILURE_SMOOTHING * self.failure_rate
        elif outcome is AttemptEnd.full:
            self.fullness.record_refusal(running.started_at, now)
        elif outcome is AttemptEnd.absent:
            self._record_absence(request, now)
        elif outcome not in _NO_FAILURE:
            self._record_failure(running, outcome, now)

    def _end_trial(self, running: RunningRequest) -> None:
        """Replace outdated response times by the expectation of a trial."""
        if running.is_trial:
            running.is_trial = False
            self.response_times.replace(running.expected_s)

    def _record_absence(self, request: DispatchRequest, now: float) -> None:
        """Assume that the model or adapter of a request is absent.

        The upstream does not tell which one. The adapter is assumed first,
        and the model if the adapter is already assumed to be absent.
        """
        profile = request.profile
        self.learned.drop_model(profile.model, now)
        held = self.facts.find_model(profile.model)
        if held is not None and profile.adapter:
            key = f'{profile.model}/{profile.adapter}'
            if now >= self.absent_until.get(key, -math.inf):
                self.absent_until[key] = now + _ASSUMPTION_S
                self.adapters_assumed_until.pop(
                    (profile.model, profile.adapter), None
                )
                return
        self.absent_until[profile.model] = now + _ASSUMPTION_S

    def _record_failure(
        self, running: RunningRequest, outcome: AttemptEnd, now: float
    ) -> None:
        """Raise the failure rate; pause an upstream if lost or failing often.

        Each further pause is twice as long, up to a limit. An attempt fails
        once at most.
        """
        if running.is_overdue:
            return
        self.failure_rate += _FAILURE_SMOOTHING * (1 - self.failure_rate)
        is_lost = outcome in {AttemptEnd.unreachable, AttemptEnd.replaced}
        if is_lost or self.failure_rate > _MAX_FAILURE_RATE:
            self.pause_count += 1
            pause_s = _FIRST_PAUSE_S * 2 ** min(self.pause_count - 1, 4)
            self.paused_until = now + min(_MAX_PAUSE_S, pause_s)

    def _is_paused(self, now: float) -> bool:
        """Tell whether failed attempts have paused the upstream."""
        if now < self.paused_until:
            return True
        return self.facts.is_silent and self.pause_count > 0

    def _fresh_other_load(self, now: float) -> SharedLoad:
        """Return the load of the other entries; zero if it is too old."""
        if now - self.other_load_at > _OTHER_LOAD_STALE_S:
            return SharedLoad(self.facts.name, 0, 0)
        return self.other_load
