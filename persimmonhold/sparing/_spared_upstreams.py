"""The upstreams to which an entry sends no new requests, by their own wish.

Invariant: what a process has stated is kept while its upstream is absent from
the facts, so a list that shows it again as ready does not undo it.
"""

from collections.abc import Mapping
from typing import Final, TypeAlias, final

from persimmonhold.sparing._ended_sparing import EndedSparing
from persimmonhold.sparing._leaving_statement import LeavingStatement
from persimmonhold.sparing._sparing import Sparing
from persimmonhold.sparing._sparing_view import SparingView

ProcessKey: TypeAlias = tuple[str, int]
# How long an upstream may be absent from lists before a process of that name
# counts as another one. A leaving process ends within this time.
_FORGET_S: Final = 120.0


@final
class SparedUpstreams:
    """The views of all upstreams, and the sparings in force.

    All dictionaries but `sent_counts` are keyed by upstream. `absent_since`
    has those without facts. `sent_counts` counts the requests sent to each
    service. `changes` are the sparings that began and ended, for the log.
    `is_recheck_due` is set when an upstream turns requests away, as waiting
    requests may no longer be served in time.
    """

    __slots__ = (
        'absent_since',
        'changes',
        'in_force',
        'is_recheck_due',
        'sent_counts',
        'views',
    )

    def __init__(self) -> None:
        """Create the record of an entry that has seen no response."""
        self.views: dict[str, SparingView] = {}
        self.absent_since: dict[str, float] = {}
        self.in_force: dict[str, Sparing] = {}
        self.changes: list[Sparing | EndedSparing] = []
        self.sent_counts: dict[str, int] = {}
        self.is_recheck_due = False

    def track(
        self, process: ProcessKey, service: str, now: float
    ) -> SparingView:
        """Return the view of the process that the facts describe."""
        name, born_ms = process
        view = self._find_or_create(process, now)
        view.confirm_process(born_ms, service)
        self.absent_since.pop(name, None)
        self._update(name, now)
        return view

    def release(self, name: str, now: float) -> None:
        """Record that there are no facts about an upstream any more."""
        view = self.views.get(name)
        if view is not None and view.is_spared(now):
            self.absent_since[name] = now
        else:
            self.views.pop(name, None)
        self._update(name, now)

    def is_spared(self, name: str, now: float) -> bool:
        """Tell whether an upstream gets no new request."""
        view = self.views.get(name)
        return view is not None and view.is_spared(now)

    def record_leaving(self, process: ProcessKey, now: float) -> None:
        """Record that a process is about to end."""
        view = self._find_for_response(process, now)
        if view is not None:
            view.leaving = LeavingStatement(process[1], now)
            view.outlived_since = None
            self._update(process[0], now)

    def confirm_list(
        self, leaving: Mapping[str, bool], listed_at: float, now: float
    ) -> None:
        """End the leave of processes that have been replaced.

        `leaving` tells of the upstreams in force whether the facts show that
        they leave; their list was requested at `listed_at`.
        """
        for name, is_leaving in leaving.items():
            self.views[name].confirm_list(
                listed_at, now, is_listed_leaving=is_leaving
            )
            self._update(name, now)

    def record_turned_away(
        self, process: ProcessKey, pause_s: float, now: float
    ) -> None:
        """Record that a process wants no request for so long from now.

        A time that ends before the one in force changes nothing: responses
        overlap, and each of them is a wish of its own.
        """
        view = self._find_for_response(process, now)
        if view is not None and now + pause_s > max(now, view.closed_until):
            view.closed_until = now + pause_s
            self.is_recheck_due = True
            self._update(process[0], now)

    def record_sent(self, service: str) -> None:
        """Count a request that was sent to an upstream of a service."""
        self.sent_counts[service] = self.sent_counts.get(service, 0) + 1

    def pop_recheck(self) -> bool:
        """Tell whether an upstream has turned requests away since."""
        is_due = self.is_recheck_due
        self.is_recheck_due = False
        return is_due

    def pop_changes(self, now: float) -> tuple[Sparing | EndedSparing, ...]:
        """Return the sparings that began or ended since, in their order.

        Also drops what is known of upstreams that have been absent for long.
        """
        for name in tuple(self.in_force):
            self._update(name, now)
        for absent, since in tuple(self.absent_since.items()):
            if now > since + _FORGET_S:
                self.absent_since.pop(absent)
                self.views.pop(absent, None)
        changes = tuple(self.changes)
        self.changes.clear()
        return changes

    def _find_for_response(
        self, process: ProcessKey, now: float
    ) -> SparingView | None:
        """Return the view of a process; None if it has been replaced."""
        view = self._find_or_create(process, now)
        return None if 0 < process[1] < view.born_ms else view

    def _find_or_create(self, process: ProcessKey, now: float) -> SparingView:
        """Return the view of a process, or of one that replaced it."""
        name, born_ms = process
        view = self.views.get(name)
        if view is None:
            self.absent_since[name] = now
        if view is None or view.is_older_than(born_ms):
            view = SparingView(born_ms)
            self.views[name] = view
        return view

    def _update(self, name: str, now: float) -> None:
        """Begin or end the sparing of an upstream if its view has changed."""
        view = self.views.get(name)
        is_absent = view is None or name in self.absent_since
        cause = None if is_absent or view is None else view.find_cause(now)
        former = self.in_force.get(name)
        if former is not None and (
            former.cause is not cause or former.view is not view
        ):
            self._end(former, now)
            former = None
        if former is None and view is not None and cause is not None:
            sent = self.sent_counts.get(view.service, 0)
            planned_s = None if view.is_leaving else view.closed_until - now
            begun = Sparing(name, cause, view, now, sent, planned_s)
            self.in_force[name] = begun
            self.changes.append(begun)

    def _end(self, sparing: Sparing, now: float) -> None:
        self.in_force.pop(sparing.upstream)
        sent = self.sent_counts.get(sparing.view.service, 0)
        self.changes.append(
            EndedSparing(
                upstream=sparing.upstream,
                cause=sparing.cause,
                lasted_s=now - sparing.began_at,
                sent_elsewhere=sent - sparing.sent_before,
            )
        )
