"""Load and demand of all entries, as they report it."""

import math
from collections import Counter
from collections.abc import Hashable, Iterable
from typing import Final, TypeVar, final

from persimmonhold.fleet._fleet_messages import EntryReport
from persimmonhold.fleet._model_load import ModelLoad
from persimmonhold.fleet._model_waiting import ModelWaiting
from persimmonhold.fleet._shared_load import SharedLoad
from persimmonhold.fleet._upstream_ledger import UpstreamLedger
from persimmonhold.routes import EngineSpec

_Key = TypeVar('_Key', bound=Hashable)
# For this time after the first report, low demand may only mean that reports of
# other entries are missing. It equals the averaging time of the fast averages.
_WARM_UP_S: Final = 0.8
# An entry is dropped after this time, which spans several lost reports.
_ENTRY_SILENT_S: Final = 2.0


@final
class FleetDemand:
    """The latest report of each entry and the load of each model.

    `model_loads` has the load of each model of a service, and `loads_by_entry`
    the load that an entry puts on each upstream. `last_reports` and
    `reported_at` are keyed by entry. `running` and `unread_tokens` are the
    sums of `loads_by_entry` by upstream, `running_models` those of running
    requests by (upstream, model), and `waiting` those of waiting requests by
    (service, model).
    """

    __slots__ = (
        'first_report_at',
        'last_reports',
        'loads_by_entry',
        'model_loads',
        'reported_at',
        'running',
        'running_models',
        'unread_tokens',
        'waiting',
    )

    def __init__(self) -> None:
        """Create the demand before any entry has reported."""
        self.first_report_at = math.inf
        self.last_reports: dict[str, EntryReport] = {}
        self.reported_at: dict[str, float] = {}
        self.model_loads: dict[str, dict[str, ModelLoad]] = {}
        self.loads_by_entry: dict[str, dict[str, SharedLoad]] = {}
        self.running: Counter[str] = Counter()
        self.unread_tokens: Counter[str] = Counter()
        self.running_models: Counter[tuple[str, str]] = Counter()
        self.waiting: Counter[tuple[str, str]] = Counter()

    def record_report(
        self,
        entry: str,
        report: EntryReport,
        now: float,
    ) -> None:
        """Record a report, unless a newer one of the entry is known.

        After a silence any report is accepted: an entry that restarts counts
        its reports from the beginning again.
        """
        last = self.last_reports.get(entry)
        is_old = last is not None and last.sequence >= report.sequence
        if is_old and now - self.reported_at[entry] < _ENTRY_SILENT_S:
            return
        self.first_report_at = min(self.first_report_at, now)
        self.last_reports[entry] = report
        self.reported_at[entry] = now
        self._replace_loads(entry, report.loads)
        for demand in report.demand:
            models = self.model_loads.setdefault(demand.service, {})
            load = models.setdefault(demand.model, ModelLoad(now))
            change = demand.waiting - load.waiting.get(entry, 0)
            _add_count(self.waiting, (demand.service, demand.model), change)
            load.add_report(entry, demand, now)

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
        own = self.loads_by_entry.get(entry, {})
        others: list[SharedLoad] = []
        for name, total in self.running.items():
            running, unread = total, self.unread_tokens[name]
            own_load = own.get(name)
            if own_load is not None:
                running -= own_load.running
                unread -= own_load.unread_tokens
            if running:
                others.append(SharedLoad(name, running, unread))
        return tuple(others)

    def sum_other_waiting(self, entry: str) -> tuple[ModelWaiting, ...]:
        """Return the requests that wait at all other entries, by model."""
        others: list[ModelWaiting] = []
        for (service, model), total in self.waiting.items():
            own = self.model_loads[service][model].waiting.get(entry, 0)
            if total > own:
                others.append(ModelWaiting(service, model, total - own))
        return tuple(others)

    def lowest_confirmed_number(self, term: int) -> int:
        """Return the change number up to which all entries have all changes.

        Returns 0 while the last report of any entry is of another term.
        """
        reports = self.last_reports.values()
        if any(report.term != term for report in reports):
            return 0
        return min((report.number for report in reports), default=0)

    def drop_silent_entries(self, now: float) -> None:
        """Drop reports and load of entries that have stopped reporting."""
        for entry, reported_at in tuple(self.reported_at.items()):
            if now - reported_at > _ENTRY_SILENT_S:
                self.reported_at.pop(entry)
                self.last_reports.pop(entry, None)
                self._replace_loads(entry, ())
                self.loads_by_entry.pop(entry)
                for service, models in self.model_loads.items():
                    for model, load in models.items():
                        waiting = load.waiting.get(entry, 0)
                        _add_count(self.waiting, (service, model), -waiting)
                        load.drop_entry(entry)

    def _replace_loads(
        self,
        entry: str,
        loads: Iterable[SharedLoad],
    ) -> None:
        """Replace the loads of an entry, and update the sums."""
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


def _add_count(sums: Counter[_Key], key: _Key, amount: int) -> None:
    """Add to a sum; drop it if it becomes zero."""
    sums[key] += amount
    if not sums[key]:
        sums.pop(key)
