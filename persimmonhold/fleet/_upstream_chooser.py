"""Chooses the upstream of a request.

Invariant: an upstream that is leaving, has turned requests away for now, is
full or lacks the model is never chosen.
"""

import random
from collections.abc import Iterable
from typing import Final, final

import msgspec

from persimmonhold.fleet._brittleness import find_least_refusals
from persimmonhold.fleet._dispatch_request import DispatchRequest
from persimmonhold.fleet._engine_speed import PROMPT_TOKENS_PER_S
from persimmonhold.fleet._first_event import learned_response_s
from persimmonhold.fleet._limit_observation import LimitObservation
from persimmonhold.fleet._listed_upstream import ListedUpstream
from persimmonhold.fleet._model_waiting import ModelWaiting
from persimmonhold.fleet._request_queue import OwnWaiting, PendingRequest
from persimmonhold.fleet._response_times import INITIAL_ATTEMPT_S
from persimmonhold.fleet._shared_load import SharedLoad
from persimmonhold.fleet._slot_share import SlotShare, find_slot_share
from persimmonhold.fleet._upstream_facts import UpstreamFacts
from persimmonhold.fleet._upstream_groups import UpstreamGroups
from persimmonhold.fleet._upstream_option import UpstreamOption
from persimmonhold.fleet._upstream_preference import UpstreamPreference
from persimmonhold.fleet._upstream_tracker import UpstreamTracker
from persimmonhold.sparing import (
    LeavingStatement,
    SparedUpstreams,
    SparingCause,
)

# An upstream with running requests and more unread prompts than this gets no
# request, since reading prompts delays the events of all running requests.
_MAX_UNREAD_S: Final = 0.12
# Reason of refusals where upstreams turn requests away for a stated time.
TURNED_AWAY_REASON: Final = 'upstreams_turned_away'
_MIN_LIMIT_PER_S: Final = 0.01  # avoids a division by zero


@final
class UpstreamChooser:
    """Tracks all upstreams at an entry and chooses among them.

    `groups` finds the trackers by service and model. Adapters cannot be loaded before
    `orders_start_at`, when a new fleet controller starts to issue orders.
    `preference` decides among those that can accept a request.
    `spared` are the upstreams that want no new requests of this VM. The list of
    the last update was requested at `updated_to`.
    """

    __slots__ = (
        'groups',
        'orders_start_at',
        'preference',
        'rng',
        'spared',
        'trackers',
        'updated_to',
        'waiting_elsewhere',
    )

    def __init__(
        self,
        failure_domain: str,
        rng: random.Random,
        *,
        is_learning: bool = True,
    ) -> None:
        """Create a chooser without upstreams.

        `is_learning` enables prompt caches and learned speeds.
        """
        self.rng = rng
        self.orders_start_at = float('-inf')
        self.spared = SparedUpstreams()
        self.updated_to = float('-inf')
        self.trackers: dict[str, UpstreamTracker] = {}
        self.groups = UpstreamGroups()
        self.preference = UpstreamPreference(
            failure_domain, self.groups, rng, is_learning=is_learning
        )
        self.waiting_elsewhere: dict[tuple[str, str], ModelWaiting] = {}

    def apply_facts(
        self,
        facts: Iterable[UpstreamFacts],
        gone: Iterable[str],
        now: float,
        listed_at: float,
        *,
        is_complete: bool,
    ) -> None:
        """Apply changed facts, and stop tracking the upstreams that are gone.

        Their list was requested at `listed_at`. If `is_complete`, upstreams
        without facts are gone as well.
        """
        known = {one.name: one for one in facts}
        for name, one in known.items():
            sparing = self.spared.track(one.process_key, one.service, now)
            tracker = self.trackers.get(name)
            if tracker is None:
                tracker = UpstreamTracker(one, sparing)
                # An upstream of this name may have been tracked before.
                tracker.learned.restart(now)
                tracker.fullness.expect_brittleness(
                    find_least_refusals(
                        self.groups.by_service.get(one.service, ())
                    ),
                    now,
                )
                self.trackers[name] = tracker
                self.groups.add(tracker)
            is_regrouped = tracker.facts.group != one.group
            if is_regrouped:
                self.groups.remove(tracker)
            tracker.apply_facts(one, sparing, now)
            if is_regrouped:
                self.groups.add(tracker)
        gone_now = set(gone)
        if is_complete:
            gone_now |= self.trackers.keys() - known.keys()
        for name in gone_now:
            gone_tracker = self.trackers.pop(name, None)
            if gone_tracker is not None:
                self.spared.release(name, now)
                self.groups.remove(gone_tracker)
        leaving = {
            spared: self.trackers[spared].facts.is_leaving
            for spared in self.spared.in_force
            if spared in self.trackers
        }
        self.spared.confirm_list(leaving, listed_at, now)

    def apply_list(
        self, listed: Iterable[ListedUpstream], asked_at: float, now: float
    ) -> None:
        """Track exactly the listed upstreams, with the facts known before.

        The list was requested at `asked_at`.
        """
        facts = [self._merge_listed_upstream(one, asked_at) for one in listed]
        self.apply_facts(facts, (), now, asked_at, is_complete=True)

    def confirm_limits(self, now: float, *, is_new_controller: bool) -> None:
        """Have the facts of an update replace older observations of limits.

        A new fleet controller does not know the limits yet, so those in force
        are kept until it does.
        """
        for tracker in self.trackers.values():
            if is_new_controller:
                tracker.limit.keep_limit(now)
                tracker.fullness.brittleness.keep_limit(now)
            else:
                tracker.limit.drop_confirmed_observation(now)
                tracker.fullness.brittleness.drop_confirmed_observation(now)

    def apply_other_loads(
        self,
        others: Iterable[SharedLoad],
        waiting: Iterable[ModelWaiting],
        now: float,
    ) -> None:
        """Apply the load of the other entries, and what waits there."""
        loads = {load.upstream: load for load in others}
        for name, tracker in self.trackers.items():
            tracker.apply_other_load(loads.get(name), self.rng.random(), now)
        self.waiting_elsewhere = {
            (one.service, one.model): one for one in waiting
        }

    def record_response_limit(
        self,
        process: tuple[str, int],
        limit_per_s: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record the limit in a response; tell whether the limit changed.

        The request was sent at `sent_at`. Ignored if the process is no longer
        the one that the facts describe.
        """
        tracker = self.trackers.get(process[0])
        if tracker is None or tracker.facts.process_key != process:
            return False
        return tracker.limit.record_response(
            LimitObservation(limit_per_s, sent_at, now)
        )

    def choose_upstream(
        self,
        pending: PendingRequest,
        own_waiting: OwnWaiting,
        now: float,
    ) -> UpstreamOption | None:
        """Return the upstream with the earliest expected first event.

        `own_waiting` is what waits for the model at this entry, with this
        request.
        Upstreams whose attempts failed lately are less likely to be chosen.
        Returns None if no upstream can accept the request now.
        """
        request = pending.request
        options: list[UpstreamOption] = []
        for tracker in self._candidates(pending):
            if not self._has_place(tracker, pending, own_waiting, now):
                continue
            needs_adapter = self._needs_adapter(tracker, pending, now)
            if needs_adapter and not self._can_load_adapter(tracker, now):
                continue
            options.append(UpstreamOption(tracker, needs_adapter))
        usual_s = 0.0
        if not request.is_engine:
            usual_s = _usual_response_s(self._candidates(pending))
        return self.preference.choose(
            request, pending.prompt_keys, options, usual_s, now
        )

    def has_ended(self, process: tuple[str, int]) -> bool:
        """Tell whether the facts show that a process is not running any more."""
        tracker = self.trackers.get(process[0])
        return tracker is None or 0 < process[1] < tracker.facts.born_ms

    def has_holder(self, pending: PendingRequest, now: float) -> bool:
        """Tell whether an available upstream holds the model of a request."""
        return self.count_holders(pending, now) > 0

    def has_adapter(self, pending: PendingRequest, now: float) -> bool:
        """Tell whether an available upstream has the adapter of a request."""
        if not pending.request.profile.adapter:
            return True
        return any(
            tracker.is_available(now)
            and tracker.find_model(pending.request.profile.model, now)
            is not None
            and not self._needs_adapter(tracker, pending, now)
            for tracker in self._candidates(pending)
        )

    def count_holders(self, pending: PendingRequest, now: float) -> int:
        """Count the available upstreams that hold the model of a request.

        Upstreams that the request avoids after a failed attempt do not count.
        If the service runs no models, all other available upstreams count.
        """
        return sum(1 for _ in self._available_holders(pending, now))

    def next_permit_at(
        self, pending: PendingRequest, ahead: int, now: float
    ) -> float | None:
        """Return when a request may get a permit, or None if it needs none.

        It needs one if all available upstreams that hold its model have a
        request limit. `ahead` requests at this entry go before it, and all
        that wait at other entries.
        """
        request = pending.request
        limits = [one.limit for one in self._available_holders(pending, now)]
        if not limits or any(one.per_s is None for one in limits):
            return None
        total_per_s = sum(one.per_s or 0 for one in limits)
        key = (request.service, request.profile.model)
        elsewhere = self.waiting_elsewhere.get(key)
        ahead += elsewhere.count if elsewhere else 0
        first_at = max(now, min(one.closed_until for one in limits))
        return first_at + ahead / max(total_per_s, _MIN_LIMIT_PER_S)

    def find_opening(self, pending: PendingRequest, now: float) -> float | None:
        """Return when an upstream that turns requests away takes them again.

        That is the earliest time among those that hold the model of a request.
        Returns None if none of them does so.
        """
        openings = (
            tracker.sparing.closed_until
            for tracker in self.holders(pending, now)
            if tracker.sparing.find_cause(now) is SparingCause.turned_away
            and not tracker.facts.is_leaving
            and not pending.is_excluded(
                tracker.facts.process_key, tracker.sparing.closed_until
            )
        )
        return min(openings, default=None)

    def holders(
        self, pending: PendingRequest, now: float
    ) -> Iterable[UpstreamTracker]:
        """Return the upstreams that hold the model of a request."""
        request = pending.request
        return (
            tracker
            for tracker in self._candidates(pending)
            if not request.is_engine
            or tracker.find_model(request.profile.model, now) is not None
        )

    def is_turned_away(self, pending: PendingRequest, now: float) -> bool:
        """Tell whether all that hold the model are closed, one for a time."""
        return (
            not self.has_holder(pending, now)
            and self.find_opening(pending, now) is not None
        )

    def find_absence_reason(self, pending: PendingRequest, now: float) -> str:
        """Return why no available upstream holds the model of a request."""
        if self.find_opening(pending, now) is not None:
            return TURNED_AWAY_REASON
        is_leaving = any(
            tracker.sparing.is_leaving for tracker in self.holders(pending, now)
        )
        return 'upstreams_leaving' if is_leaving else 'no_upstream'

    def find_earliest_service(
        self,
        request: DispatchRequest,
        accepted_at: float,
        load_at: float,
        now: float,
    ) -> float:
        """Return when a holder accepts a request, or another upstream does.

        A holder does at `accepted_at`, another one at `load_at`. The model may
        be loaded at an available upstream without a request limit.
        """
        can_load = request.is_engine and any(
            tracker.is_available(now) and tracker.limit.per_s is None
            for tracker in self.groups.by_service.get(request.service, ())
        )
        return min(accepted_at, load_at) if can_load else accepted_at

    def _available_holders(
        self, pending: PendingRequest, now: float
    ) -> Iterable[UpstreamTracker]:
        """Return the available upstreams that hold the model of a request.

        Not those that the request avoids after a failed attempt.
        """
        return (
            tracker
            for tracker in self.holders(pending, now)
            if tracker.is_available(now)
            and not pending.is_excluded(tracker.facts.process_key, now)
        )

    def _candidates(self, pending: PendingRequest) -> list[UpstreamTracker]:
        """Return the upstreams that may be able to run a request."""
        request = pending.request
        if request.is_engine:
            found = self.groups.by_model.get(
                (request.service, request.profile.model), ()
            )
        else:
            found = self.groups.by_service.get(request.service, ())
        if not pending.build:
            return list(found)
        return [one for one in found if one.facts.build == pending.build]

    def _merge_listed_upstream(
        self, listed: ListedUpstream, asked_at: float
    ) -> UpstreamFacts:
        """Return the facts about a listed upstream.

        Facts known before are used unless the list shows a newer process.
        """
        tracker = self.trackers.get(listed.name)
        if tracker is None or tracker.facts.born_ms < listed.born_ms:
            return UpstreamFacts.from_listed(listed)
        was_leaving = tracker.facts.is_leaving and not LeavingStatement(
            tracker.facts.born_ms, self.updated_to
        ).has_ended(
            listed.born_ms, asked_at, is_listed_leaving=listed.is_leaving
        )
        return msgspec.structs.replace(
            tracker.facts, is_leaving=was_leaving or listed.is_leaving
        )

    def _can_accept(
        self,
        tracker: UpstreamTracker,
        pending: PendingRequest,
        now: float,
    ) -> bool:
        """Tell whether an upstream can accept the request now."""
        if pending.is_excluded(
            tracker.facts.process_key, now
        ) or not tracker.is_available(now):
            return False
        statements = (tracker.limit, tracker.fullness.brittleness)
        if not all(one.allows_request(now) for one in statements):
            return False
        running = tracker.total_running(now)
        if running >= tracker.facts.slots or tracker.is_full(now):
            return False
        if not pending.request.is_engine:
            return True
        if tracker.find_model(pending.request.profile.model, now) is None:
            return False
        unread_s = tracker.total_unread_tokens(now) / PROMPT_TOKENS_PER_S
        return not running or unread_s < _MAX_UNREAD_S

    def _has_place(
        self,
        tracker: UpstreamTracker,
        pending: PendingRequest,
        own_waiting: OwnWaiting,
        now: float,
    ) -> bool:
        """Tell whether an upstream has a slot left in this entry's share.

        All entries learn of a free slot at the same time. Where requests wait
        for it at several of them, each uses only its share.
        """
        if not self._can_accept(tracker, pending, now):
            return False
        if not pending.request.is_engine:
            return True
        share = _find_share(
            [
                one
                for held in tracker.facts.models
                if (
                    one := self.waiting_elsewhere.get((
                        tracker.facts.service,
                        held.name,
                    ))
                )
            ],
            pending,
            own_waiting,
            now,
        )
        return share is None or tracker.has_free_place(share, now)

    def _can_load_adapter(self, tracker: UpstreamTracker, now: float) -> bool:
        """Tell whether an adapter can be loaded at an upstream now."""
        return now >= self.orders_start_at and tracker.can_load_adapter(now)

    def _needs_adapter(
        self,
        tracker: UpstreamTracker,
        pending: PendingRequest,
        now: float,
    ) -> bool:
        """Tell whether a request needs an adapter that is not loaded there."""
        profile = pending.request.profile
        if not pending.request.is_engine or not profile.adapter:
            return False
        held = tracker.find_model(profile.model, now)
        return held is None or not tracker.has_adapter(
            held, profile.adapter, now
        )


def _usual_response_s(trackers: Iterable[UpstreamTracker]) -> float:
    """Return the least response time learned of upstreams of one service."""
    learned = (
        learned_response_s(tracker.response_times)
        for tracker in trackers
        if tracker.response_times.has_been_tried
    )
    return min(learned, default=INITIAL_ATTEMPT_S)


def _find_share(
    elsewhere: list[ModelWaiting],
    pending: PendingRequest,
    own_waiting: OwnWaiting,
    now: float,
) -> SlotShare | None:
    """Return this entry's share of an upstream's slots; None for any number.

    `elsewhere` is what waits for the models of the upstream.
    """
    share = find_slot_share(
        pending.request.priority,
        own_waiting.classes,
        [one for waiting in elsewhere for one in waiting.classes],
        is_due_near=pending.is_due_near(now),
    )
    model = pending.request.profile.model
    if share or all(waiting.model != model for waiting in elsewhere):
        return share
    total = sum(waiting.count for waiting in elsewhere)
    return SlotShare(own_waiting.total / (own_waiting.total + total))
