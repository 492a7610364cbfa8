"""Records at an entry where streams begin, and which builds serve."""

from collections import Counter
from collections.abc import Callable
from typing import Final, final

import msgspec

from persimmonhold.fleet import (
    DispatchRequest,
    EntryReport,
    FleetUpdate,
    ForwardDispatcher,
    UpstreamFacts,
    WantedCopy,
)
from persimmonhold.streams import STREAM_LIFE_S, StreamOrigin, StreamOrigins

# A stream is in each report of this time, as reports may be lost.
_REPORTED_S: Final = 0.35
_BUILD_INTERVAL_S: Final = 1.0
_MAX_WANTED: Final = 16
# A controller that has sent every entry so many updates, at most one each 0.02 s,
# has had the reports of all entries.
_SETTLED_ROUNDS: Final = 50


@final
class StreamRecorder:
    """Passes the streams that begin to the dispatcher and into reports.

    `told_term` is the last term whose controller has confirmed a report with
    all streams that may still be taken up. `first_sequence` is that of the
    first update, or None.
    """

    __slots__ = (
        'builds_recorded_at',
        'clock',
        'dispatcher',
        'first_sequence',
        'origins',
        'told_term',
    )

    def __init__(
        self, dispatcher: ForwardDispatcher, clock: Callable[[], float]
    ) -> None:
        """Create a recorder for the dispatcher of an entry."""
        self.dispatcher = dispatcher
        self.clock = clock
        self.origins = StreamOrigins()
        self.told_term = 0
        self.first_sequence: int | None = None
        self.builds_recorded_at = float('-inf')

    def record_begun(
        self, dispatch_request: DispatchRequest, upstream: UpstreamFacts
    ) -> None:
        """Record which upstream sent the first event of a response.

        The stream goes on only at the build of that upstream.
        """
        build = self.dispatcher.chooser.groups.find_build(upstream)
        pending = self.dispatcher.pending.get(dispatch_request.number)
        if pending is not None and not pending.build:
            pending.build = build
        self.origins.streams.record(
            dispatch_request.profile.request_id,
            StreamOrigin(dispatch_request.service, build),
            self.clock(),
        )

    def record_builds(self, *, has_changed: bool) -> None:
        """Record which builds serve, at once after a change of the facts."""
        now = self.clock()
        if not has_changed and (
            now < self.builds_recorded_at + _BUILD_INTERVAL_S
        ):
            return
        self.builds_recorded_at = now
        trackers = self.dispatcher.chooser.trackers.values()
        self.origins.builds.record_serving(
            (
                (tracker.facts.service, tracker.facts.software_version)
                for tracker in trackers
            ),
            self.dispatcher.listed_at,
            now,
        )

    def record_update(self, update: FleetUpdate) -> None:
        """Record how many updates the first controller had sent before.

        An update that builds on a report of its term confirms that one. Reports
        may be lost, or go to the former leader while this entry knows no other.
        """
        if self.first_sequence is None:
            self.first_sequence = update.sequence
        if update.base and update.term == self.dispatcher.term:
            self.told_term = update.term

    def may_trust_guess(self, service: str) -> bool:
        """Tell whether a controller of an earlier build can guess an origin.

        It guesses by the builds that it and the entries have seen, and not at
        all if it was told of several. Some may be unknown to it and to this
        entry if all of them have just started.
        """
        now = self.clock()
        builds = self.origins.builds
        served = sum(one.service == service for one in builds.list_served(now))
        was_told = self.told_term == self.dispatcher.term
        if builds.covers_streams(now) or (was_told and served > 1):
            return True
        rounds = (self.first_sequence or 0) / self.dispatcher.entry_count
        return rounds >= _SETTLED_ROUNDS

    def complete_report(self, report: EntryReport) -> EntryReport:
        """Add the streams of late to a report.

        A new controller gets all in each report until it has confirmed one.
        """
        now = self.clock()
        since = now - _REPORTED_S
        if self.told_term != report.term:
            since = now - STREAM_LIFE_S
        return msgspec.structs.replace(
            report,
            streams=self.origins.streams.list_begun_since(since),
            builds=self.origins.builds.build_report(now),
            wanted=self._list_wanted(),
            observed_s=self.origins.builds.find_observed_s(now),
        )

    def _list_wanted(self) -> tuple[WantedCopy, ...]:
        """Return the copies that waiting requests need at some build.

        A stream that only pauses needs none: its upstream may go on.
        """
        groups = self.dispatcher.chooser.groups
        needed = Counter(
            (one.request.service, one.request.profile.model, one.build)
            for queue in self.dispatcher.queues.values()
            for one in queue.pending
            if one.build and one.request.is_engine and one.hedged is None
        )
        return tuple(
            WantedCopy(*copy, waiting=count)
            for copy, count in needed.most_common()
            if not groups.holds_model(*copy)
        )[:_MAX_WANTED]
