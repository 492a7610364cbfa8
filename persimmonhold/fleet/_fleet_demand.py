"""Load and demand of all entries, as they report it."""

import math
from collections import Counter
from collections.abc import Hashable, Iterable
from typing import Final, TypeAlias, TypeVar, final

import msgspec

from persimmonhold.fleet._fleet_messages import EntryReport, WantedCopy
from persimmonhold.fleet._fleet_speeds import FleetSpeeds
from persimmonhold.fleet._lost_streams import LostStreams
from persimmonhold.fleet._model_load import ModelLoad
from persimmonhold.fleet._model_waiting import ModelWaiting
from persimmonhold.fleet._shared_load import SharedLoad
from persimmonhold.fleet._upstream_ledger import UpstreamLedger
from persimmonhold.fleet._waiting_class import WaitingClass
from persimmonhold.routes import EngineSpec

_Key = TypeVar('_Key', bound=Hashable)
_QueueKey: TypeAlias = tuple[str, str]  # service and model
# The priorities of workspace and route, and whether the requests are late.
_ClassKey: TypeAlias = tuple[int, int, bool]
_Classes: TypeAlias = tuple[WaitingClass, ...]
_ClassesByKey: TypeAlias = dict[_QueueKey, _Classes]
# For this time after the first report, low demand may only mean that reports of
# other entries are missing. It equals the averaging time of the fast averages.
_WARM_UP_S: Final = 0.8
# An entry is dropped after this time, which spans several lost reports.
_ENTRY_SILENT_S: Final = 2.0
# Its streams may have been lost after two reports that did not come.
_STREAMS_SILENT_S: Final = 1.1


@final
class FleetDemand:
    """The latest report of each entry and the load of each model.

    `model_loads` has the load of each model of a service, and `loads_by_entry`
    the load that an entry puts on each upstream. `lost_streams` are those of
    entries that were lost or restarted. `last_reports` and
    `reported_at` are keyed by entry. `running` and `unread_tokens` are the
    sums of `loads_by_entry` by upstream, `running_models` those of running
    requests by (upstream, model), and `waiting` those of waiting requests by
    (service, model), of which `waiting_by_entry` has the parts.
    `waiting_classes` has their numbers by priority and whether they are late,
    of which `classes_by_entry` has the parts. `load_sums` and
    `waiting_sums` are these sums as sent to entries, or None after a change; a
    round of updates builds them once for all entries. `speeds` are the prefill
    speeds that they have observed.
    """

    __slots__ = (
        'classes_by_entry',
        'first_report_at',
        'last_reports',
        'load_sums',
        'loads_by_entry',
        'lost_streams',
        'model_loads',
        'reported_at',
        'running',
        'running_models',
        'speeds',
        'unread_tokens',
        'waiting',
        'waiting_by_entry',
        'waiting_classes',
        'waiting_sums',
    )

    def __init__(self) -> None:
        """Create the demand before any entry has reported."""
        self.first_report_at = math.inf
        self.last_reports: dict[str, EntryReport] = {}
        self.reported_at: dict[str, float] = {}
        self.model_loads: dict[str, dict[str, ModelLoad]] = {}
        self.loads_by_entry: dict[str, dict[str, SharedLoad]] = {}
        self.lost_streams = LostStreams()
        self.running: Counter[str] = Counter()
        self.unread_tokens: Counter[str] = Counter()
        self.running_models: Counter[tuple[str, str]] = Counter()
        self.speeds = FleetSpeeds()
        self.waiting: Counter[tuple[str, str]] = Counter()
        self.waiting_by_entry: dict[str, dict[_QueueKey, int]] = {}
        self.waiting_classes: dict[_QueueKey, Counter[_ClassKey]] = {}
        self.classes_by_entry: dict[str, _ClassesByKey] = {}
        self.load_sums: tuple[SharedLoad, ...] | None = None
        self.waiting_sums: tuple[ModelWaiting, ...] | None = None

    def record_report(
        self,
        entry: str,
        report: EntryReport,
        now: float,
    ) -> bool:
        """Record a report, unless a newer one of the entry is known.

        Returns whether it was recorded.

        After a silence any report is accepted: an entry that restarts counts
        its reports from the beginning again.
        """
        last = self.last_reports.get(entry)
        is_old = last is not None and last.sequence >= report.sequence
        if is_old and now - self.reported_at[entry] < _ENTRY_SILENT_S:
            return False
        if last is not None and not report.term and last.term:
            # A new process of the entry, which has applied no update yet.
            self._lose_streams(entry, now)
        self.first_report_at = min(self.first_report_at, now)
        self.last_reports[entry] = report
        self.reported_at[entry] = now
        self._replace_loads(entry, report.loads)
        self.speeds.record_observations(report.speeds, now)
        for demand in report.demand:
            models = self.model_loads.setdefault(demand.service, {})
            load = models.setdefault(demand.model, ModelLoad(now))
            self._replace_waiting(
                entry, (demand.service, demand.model), demand.waiting
            )
            self._replace_classes(
                entry, (demand.service, demand.model), demand.classes
            )
            load.add_report(entry, demand, now)
        return True

    def is_warmed_up(self, now: float) -> bool:
        """Tell whether reports have arrived long enough to trust low demand.

        Shortly after the first report, low demand may only mean that others
        are missing.
        """
        return now >= self.first_report_at + _WARM_UP_S

    def slot_utilization(
        self,
        ledgers: Iterable[UpstreamLedger],
        spec: EngineSpec,
    ) -> dict[str, float]:
        """Return the share of slots in use by all entries, by upstream."""
        return {
            ledger.name: self.running[ledger.name] / spec.slots
            for ledger in ledgers
        }

    def adapters_in_use(self, upstream: str) -> set[tuple[str, str]]:
        """Return the adapters of running requests, by (model, adapter)."""
        return {
            key
            for loads in self.loads_by_entry.values()
            if upstream in loads
            for key in loads[upstream].adapters
        }

    def sum_other_loads(self, entry: str) -> tuple[SharedLoad, ...]:
        """Return the load of all other entries, summed by upstream."""
        own = self.loads_by_entry.get(entry)
        if self.load_sums is None:
            self.load_sums = tuple(
                SharedLoad(name, total, self.unread_tokens[name])
                for name, total in self.running.items()
            )
        if not own:
            return self.load_sums
        return tuple(
            _subtract_load(total, own[total.upstream])
            if total.upstream in own
            else total
            for total in self.load_sums
            if total.upstream not in own
            or total.running > own[total.upstream].running
        )

    def list_wanted(self, service: str) -> tuple[WantedCopy, ...]:
        """Return the copies that requests of a service need at some build."""
        wanted: Counter[tuple[str, str]] = Counter()
        for report in self.last_reports.values():
            for copy in report.wanted:
                if copy.service == service:
                    wanted[copy.model, copy.build] += copy.waiting
        return tuple(
            WantedCopy(service, model, build, count)
            for (model, build), count in wanted.most_common()
        )

    def sum_other_waiting(self, entry: str) -> tuple[ModelWaiting, ...]:
        """Return the requests that wait at all other entries, by model."""
        own = self.waiting_by_entry.get(entry)
        if self.waiting_sums is None:
            self.waiting_sums = tuple(
                ModelWaiting(
                    service,
                    model,
                    total,
                    _list_classes(self.waiting_classes.get((service, model))),
                )
                for (service, model), total in self.waiting.items()
            )
        if not own:
            return self.waiting_sums
        others = (
            (total, total.count - own.get((total.service, total.model), 0))
            for total in self.waiting_sums
        )
        return tuple(
            total
            if count == total.count
            else self._subtract_waiting(total, count, entry)
            for total, count in others
            if count > 0
        )

    def lowest_confirmed_number(self, term: int) -> int:
        """Return the change number up to which all entries have all changes.

        Returns 0 while the last report of any entry is of another term.
        """
        reports = self.last_reports.values()
        if any(report.term != term for report in reports):
            return 0
        return min((report.number for report in reports), default=0)

    def count_heard(self, now: float) -> int:
        """Count the entries that report at present."""
        return sum(
            now - at <= _STREAMS_SILENT_S for at in self.reported_at.values()
        )

    def list_running(self, upstream: str) -> dict[str, int]:
        """Return what each entry reports to run at an upstream."""
        return {
            entry: loads[upstream].running if upstream in loads else 0
            for entry, loads in self.loads_by_entry.items()
        }

    def drop_silent_entries(self, now: float) -> None:
        """Drop reports and load of entries that have stopped reporting."""
        for entry, reported_at in tuple(self.reported_at.items()):
            if now - reported_at > _STREAMS_SILENT_S:
                self._lose_streams(entry, reported_at)
            if now - reported_at > _ENTRY_SILENT_S:
                self.reported_at.pop(entry)
                self.last_reports.pop(entry, None)
                self._replace_loads(entry, ())
                self.loads_by_entry.pop(entry)
                for key in tuple(self.waiting_by_entry.get(entry, ())):
                    self._replace_waiting(entry, key, 0)
                    self._replace_classes(entry, key, ())
                self.waiting_by_entry.pop(entry, None)
                self.classes_by_entry.pop(entry, None)
                for models in self.model_loads.values():
                    for load in models.values():
                        load.drop_entry(entry)

    def _lose_streams(self, entry: str, now: float) -> None:
        """Remember what ran for an entry that is lost."""
        loads = self.loads_by_entry.get(entry, {})
        self.lost_streams.record_lost_entry(loads.values(), now)

    def _replace_waiting(self, entry: str, key: _QueueKey, count: int) -> None:
        """Replace how many requests wait at an entry, and update the sums."""
        own = self.waiting_by_entry.setdefault(entry, {})
        change = count - own.get(key, 0)
        if not change:
            return
        own[key] = count
        if not count:
            own.pop(key)
        _add_count(self.waiting, key, change)
        self.waiting_sums = None

    def _replace_classes(
        self, entry: str, key: _QueueKey, classes: tuple[WaitingClass, ...]
    ) -> None:
        """Replace the priorities of what waits at an entry."""
        own = self.classes_by_entry.setdefault(entry, {})
        replaced = own.get(key, ())
        if classes == replaced:
            return
        self.waiting_sums = None
        sums = self.waiting_classes.setdefault(key, Counter())
        _add_classes(sums, replaced, -1)
        _add_classes(sums, classes, 1)
        own[key] = classes
        if not classes:
            own.pop(key)
        if not sums:
            self.waiting_classes.pop(key)

    def _subtract_waiting(
        self, total: ModelWaiting, count: int, entry: str
    ) -> ModelWaiting:
        """Return the `count` requests that wait at all other entries."""
        key = (total.service, total.model)
        own = self.classes_by_entry.get(entry, {}).get(key)
        if not own:
            return msgspec.structs.replace(total, count=count)
        sums = Counter(self.waiting_classes[key])
        _add_classes(sums, own, -1)
        return msgspec.structs.replace(
            total, count=count, classes=_list_classes(sums)
        )

    def _replace_loads(
        self,
        entry: str,
        loads: Iterable[SharedLoad],
    ) -> None:
        """Replace the loads of an entry, and update the sums."""
        self.load_sums = None
        replaced = self.loads_by_entry.get(entry, {})
        self.loads_by_entry[entry] = {one.upstream: one for one in loads}
        for old_load in replaced.values():
            self._add_to_sums(old_load, -1)
        for new_load in self.loads_by_entry[entry].values():
            self._add_to_sums(new_load, 1)

    def _add_to_sums(self, load: SharedLoad, factor: int) -> None:
        """Add a load `factor` times."""
        name = load.upstream
        _add_count(self.running, name, factor * load.running)
        _add_count(self.unread_tokens, name, factor * load.unread_tokens)
        for model, count in load.models:
            _add_count(self.running_models, (name, model), factor * count)


def _subtract_load(total: SharedLoad, own: SharedLoad) -> SharedLoad:
    return SharedLoad(
        total.upstream,
        total.running - own.running,
        total.unread_tokens - own.unread_tokens,
    )


def _add_classes(
    sums: Counter[_ClassKey], classes: Iterable[WaitingClass], factor: int
) -> None:
    """Add waiting requests `factor` times; late ones count separately."""
    for one in classes:
        in_time = one.count - one.late
        _add_count(sums, (*one.priority, False), factor * in_time)
        _add_count(sums, (*one.priority, True), factor * one.late)


def _list_classes(
    sums: Counter[_ClassKey] | None,
) -> tuple[WaitingClass, ...]:
    """Return the sums by priority."""
    sums = sums or Counter()
    priorities = {key[:2] for key in sums}
    return tuple(
        WaitingClass(
            *priority,
            sums[*priority, False] + sums[*priority, True],
            sums[*priority, True],
        )
        for priority in sorted(priorities)
    )


def _add_count(sums: Counter[_Key], key: _Key, amount: int) -> None:
    """Add to a sum; drop it if it becomes zero."""
    sums[key] += amount
    if not sums[key]:
        sums.pop(key)
