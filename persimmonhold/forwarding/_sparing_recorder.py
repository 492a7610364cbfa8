"""Records at an entry which upstreams want no new requests."""

from collections.abc import Callable
from typing import final

from persimmonhold.fleet import ForwardDispatcher
from persimmonhold.observability import Metrics, log_event, metric
from persimmonhold.sparing import EndedSparing, Sparing


@final
class SparingRecorder:
    """Passes what responses state to the chooser; logs and counts sparings."""

    __slots__ = ('clock', 'dispatcher', 'metrics')

    def __init__(
        self,
        dispatcher: ForwardDispatcher,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        """Create a recorder for the dispatcher of an entry."""
        self.dispatcher = dispatcher
        self.clock = clock
        self.metrics = metrics

    def record_response(
        self,
        process: tuple[str, int],
        *,
        is_leaving: bool,
        turned_away_s: float | None,
    ) -> None:
        """Record what a response states about new requests.

        `turned_away_s` is counted from now; None means that it states none.
        """
        now = self.clock()
        spared = self.dispatcher.chooser.spared
        if is_leaving:
            spared.record_leaving(process, now)
        if turned_away_s is not None:
            spared.record_turned_away(process, turned_away_s, now)
        if is_leaving or turned_away_s is not None:
            self.log_changes()

    def find_process(self, upstream: str) -> tuple[str, int]:
        """Return the process of an upstream by the facts."""
        tracker = self.dispatcher.chooser.trackers.get(upstream)
        return tracker.facts.process_key if tracker else (upstream, 0)

    def accepts_sending(self, upstream: str) -> bool:
        """Tell whether an upstream still takes a request chosen for it."""
        chooser = self.dispatcher.chooser
        if chooser.spared.is_spared(upstream, self.clock()):
            return False
        tracker = chooser.trackers.get(upstream)
        return tracker is None or not tracker.facts.is_leaving

    def log_changes(self) -> None:
        """Write a line for each sparing that began or ended."""
        for change in self.dispatcher.chooser.spared.pop_changes(self.clock()):
            if isinstance(change, Sparing):
                self._record_begun(change)
            else:
                self._record_ended(change)

    def _record_begun(self, sparing: Sparing) -> None:
        self.metrics.increment(metric.SPARINGS_BEGUN, cause=sparing.cause.value)
        log_event(
            'sparing_begins',
            upstream=sparing.upstream,
            cause=sparing.cause.value,
            planned_s=sparing.planned_s,
        )

    def _record_ended(self, ended: EndedSparing) -> None:
        self.metrics.increment(metric.SPARINGS_ENDED, cause=ended.cause.value)
        log_event(
            'sparing_ends',
            upstream=ended.upstream,
            cause=ended.cause.value,
            lasted_s=round(ended.lasted_s, 2),
            sent_elsewhere=ended.sent_elsewhere,
        )
