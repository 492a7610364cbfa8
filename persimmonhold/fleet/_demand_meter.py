"""Builds the demand reports of an entry for the fleet controller."""

from typing import Final, final

from persimmonhold.fleet._brittleness import count_sent
from persimmonhold.fleet._dispatch_request import DispatchRequest
from persimmonhold.fleet._fleet_messages import EntryReport, StatedLimit
from persimmonhold.fleet._forward_dispatcher import ForwardDispatcher
from persimmonhold.fleet._model_demand import ModelDemand
from persimmonhold.fleet._request_queue import RequestQueue
from persimmonhold.fleet._shared_load import SharedLoad
from persimmonhold.fleet._speed_sums import SpeedSums
from persimmonhold.fleet._waiting_class import WaitingClass
from persimmonhold.sparing import LeavingStatement

_MS_PER_S: Final = 1000


@final
class FleetDemandMeter:
    """Counts requests and prompt tokens that arrive between two reports.

    All keys are (service, model). `reported_keys` are the keys for which the
    last report showed running or waiting requests.
    """

    __slots__ = ('arrived', 'reported_keys', 'sequence', 'tokens')

    def __init__(self) -> None:
        """Create a meter without arrivals."""
        self.arrived: dict[tuple[str, str], int] = {}
        self.tokens: dict[tuple[str, str], int] = {}
        self.reported_keys: set[tuple[str, str]] = set()
        self.sequence = 0

    def record_arrival(self, request: DispatchRequest) -> None:
        """Count an arriving request and its prompt tokens."""
        key = (request.service, request.profile.model)
        prompt = request.profile.prompt_tokens
        self.arrived[key] = self.arrived.get(key, 0) + 1
        self.tokens[key] = self.tokens.get(key, 0) + prompt

    def build_report(
        self, dispatcher: ForwardDispatcher, now: float
    ) -> EntryReport:
        """Return a report of the time since the last one; reset the counts.

        A model that the last report showed with requests is reported again, so
        that a report with zero counts follows when its last request has ended.
        """
        leaving = _list_leaving(dispatcher)
        # Reports of a restarted entry follow those of its former process.
        self.sequence = max(self.sequence + 1, int(now * _MS_PER_S))
        running = _count_running(dispatcher)
        waiting = {
            key: queue
            for key, queue in dispatcher.queues.items()
            if queue.pending
        }
        keys = self.reported_keys | self.arrived.keys() | running.keys()
        keys |= waiting.keys()
        demand = tuple(
            ModelDemand(
                service=key[0],
                model=key[1],
                arrived=self.arrived.get(key, 0),
                tokens=self.tokens.get(key, 0),
                running=running.get(key, 0),
                waiting=_count_waiting(waiting.get(key)),
                classes=_list_classes(waiting.get(key)),
            )
            for key in sorted(keys)
        )
        self.reported_keys = {*running, *waiting}
        self.arrived = {}
        self.tokens = {}
        return EntryReport(
            term=dispatcher.term,
            number=dispatcher.applied_change_number,
            sequence=self.sequence,
            loads=_build_own_loads(dispatcher),
            demand=demand,
            limits=_build_limits(dispatcher, now),
            brittle=_build_brittle(dispatcher, now),
            leaving=tuple(leaving),
            leaving_ages_s=tuple(now - one.said_at for one in leaving.values()),
            speeds=_pop_speeds(dispatcher),
        )


def _count_running(dispatcher: ForwardDispatcher) -> dict[tuple[str, str], int]:
    """Count the running requests of this entry by service and model."""
    running: dict[tuple[str, str], int] = {}
    for tracker in dispatcher.chooser.trackers.values():
        if not tracker.running:
            continue
        for model, count in tracker.running_by_model:
            key = (tracker.facts.service, model)
            running[key] = running.get(key, 0) + count
    return running


def _count_waiting(queue: RequestQueue | None) -> int:
    """Count the waiting requests that a copy at any build could serve."""
    return sum(not one.build for one in queue.pending) if queue else 0


def _list_classes(queue: RequestQueue | None) -> tuple[WaitingClass, ...]:
    """Return the priorities of the waiting requests of a queue."""
    return queue.list_classes() if queue else ()


def _build_own_loads(dispatcher: ForwardDispatcher) -> tuple[SharedLoad, ...]:
    """Return the load that this entry puts on each upstream it uses."""
    return tuple(
        SharedLoad(
            name,
            count_sent(tracker),
            tracker.own_unread_tokens,
            tracker.running_by_model,
            tracker.running_adapters,
        )
        for name, tracker in dispatcher.chooser.trackers.items()
        if tracker.running
    )


def _build_limits(
    dispatcher: ForwardDispatcher, now: float
) -> tuple[StatedLimit, ...]:
    """Return the observed limits that the facts may not include yet."""
    return tuple(
        StatedLimit.from_observation(
            tracker.facts.process_key, tracker.limit.observation, now
        )
        for tracker in dispatcher.chooser.trackers.values()
        if tracker.limit.observation is not None
    )


def _build_brittle(
    dispatcher: ForwardDispatcher, now: float
) -> tuple[StatedLimit, ...]:
    """Return the bounds of refusals that the facts may not include yet."""
    return tuple(
        StatedLimit.from_observation(
            tracker.facts.process_key,
            tracker.fullness.brittleness.observation,
            now,
        )
        for tracker in dispatcher.chooser.trackers.values()
        if tracker.fullness.brittleness.observation is not None
    )


def _list_leaving(
    dispatcher: ForwardDispatcher,
) -> dict[tuple[str, int], LeavingStatement]:
    """Return the leaving processes that the facts do not show as such."""
    chooser = dispatcher.chooser
    return {
        (name, sparing.view.leaving.born_ms): sparing.view.leaving
        for name, sparing in chooser.spared.in_force.items()
        if sparing.view.leaving is not None
        and name in chooser.trackers
        and not chooser.trackers[name].facts.is_leaving
    }


def _pop_speeds(dispatcher: ForwardDispatcher) -> tuple[SpeedSums, ...]:
    """Return the prefill speeds observed since the last report."""
    chooser = dispatcher.chooser
    observed = [
        (name, chooser.trackers[name].learned.pop_unreported())
        for name in chooser.preference.pop_observed()
        if name in chooser.trackers
    ]
    return tuple(
        SpeedSums(name, round(tokens), round(seconds * _MS_PER_S))
        for name, (tokens, seconds) in observed
        if tokens
    )
