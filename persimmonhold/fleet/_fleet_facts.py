"""Facts about all upstreams, numbered so that entries get only the changes.

Invariant: each change gets a number above all earlier ones, so an entry that
has confirmed a number lacks only the changes with a higher one.
"""

import math
from collections.abc import Iterable
from itertools import chain, repeat
from typing import Final, TypeAlias, final

import msgspec

from persimmonhold.fleet._fleet_demand import FleetDemand
from persimmonhold.fleet._fleet_messages import SlotRequest
from persimmonhold.fleet._held_model import HeldModel
from persimmonhold.fleet._leaving_change import LeavingChange
from persimmonhold.fleet._listed_upstream import ListedUpstream
from persimmonhold.fleet._model_loading import ModelLoading
from persimmonhold.fleet._request_limits import RequestLimits
from persimmonhold.fleet._slot_leases import SlotLeases, find_assignable
from persimmonhold.fleet._upstream_facts import UpstreamFacts
from persimmonhold.fleet._upstream_ledger import UpstreamLedger
from persimmonhold.sparing import LeavingStatement

# The facts that have changed, and the upstreams that are gone.
_Changes: TypeAlias = tuple[tuple[UpstreamFacts, ...], tuple[str, ...]]
# An upstream counts as silent after this many failed report requests in a row;
# a single failure may be a lost packet.
_SILENT_AFTER_FAILURES: Final = 2
# An entry that got no slot asks again after the sum of these, of which the
# latter is for each entry, as all of them may wait for it.
_MIN_SLOT_WAIT_S: Final = 0.02
_SLOT_WAIT_PER_ENTRY_S: Final = 0.002
# By then, all entries have reported to a new controller.
_SLOT_SETTLING_S: Final = 0.5


@final
class FleetFacts:
    """Merges the upstream list with the reports of upstreams.

    `change_numbers` maps upstreams to the number of their last change of facts.
    `departures` maps upstreams that have left the list to the change number of
    their departure. Departures up to `departures_dropped_to` are no longer
    stored. `failure_counts` counts failed report requests in a row. `limits`
    are the request limits that upstreams state, and `refusals` the refusals a
    second that brittle ones withstand, whose slots `slot_leases` assigns.
    `reported_leaving` and `stated_leaving` have what upstreams said in reports,
    or to entries: that they leave. `listed_at` is when the list was requested.
    `loading` are the models that were being loaded without a serving copy when
    orders were last planned.
    `last_changes` is the last result of `changed_since`, and what it was for.
    `leaving_changes` are those not logged yet.
    """

    __slots__ = (
        'change_numbers',
        'departures',
        'departures_dropped_to',
        'by_upstream',
        'failure_counts',
        'listed',
        'listed_at',
        'last_change_number',
        'last_changes',
        'leaving_changes',
        'limits',
        'loading',
        'refusals',
        'reported_leaving',
        'slot_leases',
        'stated_leaving',
    )

    def __init__(self) -> None:
        """Create an empty set of facts."""
        self.last_change_number = 0
        self.by_upstream: dict[str, UpstreamFacts] = {}
        self.change_numbers: dict[str, int] = {}
        self.departures: dict[str, int] = {}
        self.departures_dropped_to = 0
        self.listed: dict[str, ListedUpstream] = {}
        self.listed_at: float | None = None
        self.failure_counts: dict[str, int] = {}
        self.reported_leaving: dict[str, LeavingStatement] = {}
        self.limits = RequestLimits()
        self.refusals = RequestLimits()
        self.slot_leases = SlotLeases()
        self.loading: tuple[ModelLoading, ...] = ()
        self.stated_leaving: dict[str, LeavingStatement] = {}
        self.last_changes: tuple[tuple[int, int, int], _Changes] | None = None
        self.leaving_changes: list[LeavingChange] = []

    def apply_list(
        self,
        listed: Iterable[ListedUpstream],
        asked_at: float,
    ) -> tuple[str, ...]:
        """Apply a complete list; return the upstreams that have left it.

        It was requested at `asked_at`. The facts about upstreams on the list
        change only by `refresh_all` or `refresh_one`.
        """
        self.listed_at = asked_at
        self.listed = {one.name: one for one in listed}
        self.limits.retain_upstreams(self.listed)
        self.refusals.retain_upstreams(self.listed)
        self.slot_leases.retain_upstreams(self.listed)
        gone = tuple(
            name for name in self.by_upstream if name not in self.listed
        )
        for name in gone:
            self.by_upstream.pop(name)
            self.change_numbers.pop(name)
            self.failure_counts.pop(name, None)
            self.reported_leaving.pop(name, None)
            self.stated_leaving.pop(name, None)
            self.last_change_number += 1
            self.departures[name] = self.last_change_number
        return gone

    def list_moved(self, listed: Iterable[ListedUpstream]) -> tuple[str, ...]:
        """Return the upstreams that a new list shows at another address.

        A process keeps its address, so a new process runs there.
        """
        return tuple(
            one.name
            for one in listed
            if one.name in self.listed
            and self.listed[one.name].address != one.address
        )

    def record_report_failure(self, name: str) -> None:
        """Record that an upstream did not answer a report request."""
        self.failure_counts[name] = self.failure_counts.get(name, 0) + 1

    def record_report(
        self,
        name: str,
        born_ms: int = 0,
        asked_at: float = -math.inf,
        *,
        is_leaving: bool,
    ) -> None:
        """Record that a process answered a report request of that time.

        One that reported once that it leaves does so until it is replaced.
        """
        self.failure_counts.pop(name, None)
        if is_leaving:
            self.reported_leaving[name] = LeavingStatement(born_ms, asked_at)

    def record_stated_leaving(
        self,
        processes: Iterable[tuple[str, int]],
        ages_s: Iterable[float],
        now: float,
    ) -> tuple[str, ...]:
        """Record which processes stated to an entry that they leave.

        `ages_s` tells how long ago each of them did so last. Earlier builds do
        not; then it is when the controller first heard of the process. Their
        models are planned as those of upstreams that the list shows as
        leaving. Returns the upstreams of which that was not known; ignores
        those that have been replaced or are not on the list.
        """
        changed: list[str] = []
        ages = chain(ages_s, repeat(None))
        for (name, born_ms), age_s in zip(processes, ages, strict=False):
            facts = self.by_upstream.get(name)
            if facts is None or facts.is_leaving:
                continue
            self._record_statement(name, born_ms, age_s, now)
            if self._is_leaving(facts):
                changed.append(name)
                self._store_facts(
                    msgspec.structs.replace(facts, is_leaving=True)
                )
        return tuple(changed)

    def refresh_all(self, ledgers: dict[str, UpstreamLedger]) -> None:
        """Update the facts about all listed upstreams."""
        for name in self.listed:
            self.refresh_one(name, ledgers.get(name))

    def refresh_one(self, name: str, ledger: UpstreamLedger | None) -> None:
        """Update the facts about one upstream, if it is listed."""
        listed = self.listed.get(name)
        if listed is not None:
            facts = self._merge_facts(listed, ledger)
            limit_per_s = self.limits.find_limit(facts.process_key)
            if limit_per_s is not None:
                facts = msgspec.structs.replace(facts, limit_per_s=limit_per_s)
            refusals_per_s = self.refusals.find_limit(facts.process_key)
            if refusals_per_s is not None:
                facts = msgspec.structs.replace(
                    facts, refusals_per_s=refusals_per_s
                )
            if self._is_leaving(facts):
                facts = msgspec.structs.replace(facts, is_leaving=True)
            self._store_facts(facts)

    def assign_slot(
        self,
        entry: str,
        request: SlotRequest,
        demand: FleetDemand,
        entry_count: int,
        now: float,
    ) -> float:
        """Assign a slot of a brittle upstream to an entry.

        Returns 0, or the seconds until one may be free. A new controller waits
        for the reports of all entries, which show the slots in use.
        """
        wait_s = _MIN_SLOT_WAIT_S + _SLOT_WAIT_PER_ENTRY_S * entry_count
        facts = self.by_upstream.get(request.upstream)
        is_settled = now >= demand.first_report_at + _SLOT_SETTLING_S
        if facts is None or not is_settled:
            return wait_s
        unheard = max(0, entry_count - demand.count_heard(now))
        is_assigned = self.slot_leases.try_take(
            entry,
            request,
            find_assignable(facts.slots, entry_count, unheard),
            demand.list_running(request.upstream),
            now,
        )
        return 0 if is_assigned else wait_s

    def find_limits(
        self, ledgers: Iterable[UpstreamLedger]
    ) -> dict[str, float]:
        """Return the request limits of those upstreams that state one."""
        limits: dict[str, float] = {}
        for ledger in ledgers:
            limit_per_s = self.by_upstream[ledger.name].limit_per_s
            if limit_per_s is not None:
                limits[ledger.name] = limit_per_s
        return limits

    def changed_since(
        self,
        number: int,
    ) -> tuple[tuple[UpstreamFacts, ...], tuple[str, ...]]:
        """Return the facts that changed and the departures after a number.

        Most entries have confirmed the same number, so the last result is kept
        until something changes.
        """
        key = (number, self.last_change_number, self.departures_dropped_to)
        if self.last_changes is not None and self.last_changes[0] == key:
            return self.last_changes[1]
        changed = tuple(
            facts
            for name, facts in self.by_upstream.items()
            if self.change_numbers[name] > number
        )
        gone = tuple(
            name for name, at in self.departures.items() if at > number
        )
        self.last_changes = (key, (changed, gone))
        return changed, gone

    def drop_departures(self, number: int) -> None:
        """Drop departures up to a number that every entry has confirmed.

        An entry that has confirmed less is sent the complete facts.
        """
        self.departures_dropped_to = max(self.departures_dropped_to, number)
        self.departures = {
            name: at for name, at in self.departures.items() if at > number
        }

    def pop_leaving_changes(self) -> tuple[LeavingChange, ...]:
        """Return which upstreams began or ceased to leave since."""
        changes = tuple(self.leaving_changes)
        self.leaving_changes.clear()
        return changes

    def _store_facts(self, facts: UpstreamFacts) -> None:
        """Store facts under a new change number, unless nothing changed."""
        former = self.by_upstream.get(facts.name)
        if former == facts:
            return
        if facts.is_leaving != (former is not None and former.is_leaving):
            self._record_leaving_change(facts)
        self.last_change_number += 1
        self.by_upstream[facts.name] = facts
        self.change_numbers[facts.name] = self.last_change_number
        self.departures.pop(facts.name, None)

    def _record_statement(
        self, name: str, born_ms: int, age_s: float | None, now: float
    ) -> None:
        """Record what a process stated to an entry, unless it is known."""
        known = self.stated_leaving.get(name)
        said_at = now - max(0, age_s or 0)
        if known is not None and known.born_ms == born_ms:
            if age_s is None:
                return
            said_at = max(said_at, known.said_at)
        self.stated_leaving[name] = LeavingStatement(born_ms, said_at)

    def _record_leaving_change(self, facts: UpstreamFacts) -> None:
        sources = (
            ('list', self.listed[facts.name].is_leaving),
            ('report', self._holds(self.reported_leaving, facts)),
            ('response', self._holds(self.stated_leaving, facts)),
        )
        self.leaving_changes.append(
            LeavingChange(
                upstream=facts.name,
                born_ms=facts.born_ms,
                is_leaving=facts.is_leaving,
                sources=tuple(source for source, says_so in sources if says_so),
            )
        )

    def _is_leaving(self, facts: UpstreamFacts) -> bool:
        """Tell whether the process of the facts has said that it leaves."""
        return self._holds(self.reported_leaving, facts) or self._holds(
            self.stated_leaving, facts
        )

    def _holds(
        self, statements: dict[str, LeavingStatement], facts: UpstreamFacts
    ) -> bool:
        """Tell whether a statement is of the process of the facts."""
        statement = statements.get(facts.name)
        listed = self.listed.get(facts.name)
        if statement is None or listed is None or self.listed_at is None:
            return statement is not None
        return not statement.has_ended(
            facts.born_ms, self.listed_at, is_listed_leaving=listed.is_leaving
        )

    def _merge_facts(
        self,
        listed: ListedUpstream,
        ledger: UpstreamLedger | None,
    ) -> UpstreamFacts:
        """Merge the list entry of an upstream with what it has reported."""
        failures = self.failure_counts.get(listed.name, 0)
        facts = msgspec.structs.replace(
            UpstreamFacts.from_listed(listed),
            is_silent=failures >= _SILENT_AFTER_FAILURES,
        )
        if ledger is None or not ledger.born_ms:
            return facts
        is_listed_process = listed.born_ms in {0, ledger.born_ms}
        return msgspec.structs.replace(
            facts,
            born_ms=ledger.born_ms,
            # The list may still show the version of the former process.
            software_version=(
                facts.software_version if is_listed_process else ''
            ),
            is_silent=facts.is_silent or ledger.is_replaced,
            is_changing=not ledger.is_idle,
            models=_held_models(ledger),
        )


def _held_models(ledger: UpstreamLedger) -> tuple[HeldModel, ...]:
    """Return the models that an upstream holds, except one being loaded."""
    return tuple(
        HeldModel(
            name=model,
            adapters=tuple(sorted(ledger.held[model])),
            is_retiring=model in ledger.retiring or model == ledger.evicting,
        )
        for model in sorted(ledger.held)
        if model != ledger.loading
    )
