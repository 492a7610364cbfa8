"""The slots of brittle upstreams, assigned to entries one request at a time.

A brittle upstream fails if it refuses too many requests for want of room, so
one VM assigns its slots. Invariant: what is assigned, and what entries report
to run there beyond that, is at most the slots of the upstream.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final, TypeAlias, final

from persimmonhold.fleet._brittleness import UNASSIGNED_SHARE
from persimmonhold.fleet._fleet_messages import SlotRequest, SlotReturn

ProcessKey: TypeAlias = tuple[str, int]
_Held: TypeAlias = dict[str, dict[int, float]]  # by entry and request id
# Reports lag, so they show nothing about slots that were assigned later.
_REPORT_LAG_S: Final = 1.0
# The requests of an entry that no longer reports may still run for this time.
_LOST_S: Final = 15.0
_MARGIN: Final = 1.5  # standard deviations
# After a refusal, an upstream gets no request while it counts that refusal.
_REFUSAL_PAUSE_S: Final = 1.05


@final
class SlotLeases:
    """The slots assigned to each entry, by process of an upstream.

    `leases` maps processes and entries to the request ids of their slots, and
    these to the time at which they were assigned. `returned` counts the slots
    that its last report may include and that it has returned since, by entry
    and upstream. `reported_at` is when each entry has reported last.
    No slot of a process is assigned before `closed_until`.
    """

    __slots__ = ('closed_until', 'leases', 'reported_at', 'returned')

    def __init__(self) -> None:
        """Create the record of a controller that has assigned no slot."""
        self.leases: dict[ProcessKey, _Held] = {}
        self.returned: Counter[tuple[str, str]] = Counter()
        self.reported_at: dict[str, float] = {}
        self.closed_until: dict[ProcessKey, float] = {}

    def try_take(
        self,
        entry: str,
        request: SlotRequest,
        free: float,
        running: Mapping[str, int],
        now: float,
    ) -> bool:
        """Assign a slot of an upstream, if one is free.

        `free` is the number of its slots that may be assigned, and `running`
        what each entry reports to run there.
        """
        process = request.process_key
        if now < self.closed_until.get(process, -math.inf):
            return False
        self._drop_former(process)
        held = self.leases.setdefault(process, {})
        _drop_lost(held, running, now)
        used = sum(
            max(
                len(held.get(name, ())),
                running.get(name, 0) - self.returned[name, process[0]],
            )
            for name in held.keys() | running.keys()
        )
        if used + 1 > free:
            return False
        held.setdefault(entry, {})[request.request_id] = now
        return True

    def give_back(self, entry: str, returned: SlotReturn, now: float) -> None:
        """Free the slot of a request that has ended or was not sent."""
        process = returned.process_key
        held = self.leases.get(process, {}).get(entry, {})
        since = held.pop(returned.request_id, math.inf)
        if since < self.reported_at.get(entry, -math.inf):
            self.returned[entry, process[0]] += 1
        if returned.is_refused:
            self.closed_until[process] = now + _REFUSAL_PAUSE_S

    def reconcile(
        self, entry: str, running: Mapping[str, int], now: float
    ) -> None:
        """Free the slots that a report shows as unused.

        Their return was lost, or the entry has restarted.
        """
        if self.leases:
            self.reported_at[entry] = now
        for (name, _), by_entry in self.leases.items():
            self.returned.pop((entry, name), None)
            held = by_entry.get(entry, {})
            surplus = len(held) - running.get(name, 0)
            settled = [
                request_id
                for request_id, since in held.items()
                if now - since > _REPORT_LAG_S
            ]
            for request_id in settled[: max(0, surplus)]:
                held.pop(request_id)

    def retain_upstreams(self, names: Iterable[str]) -> None:
        """Drop the slots of all other upstreams."""
        kept = set(names)
        for process in tuple(self.leases):
            if process[0] not in kept:
                self._drop(process)

    def _drop_former(self, process: ProcessKey) -> None:
        """Drop the slots of processes that this one has replaced."""
        for former in tuple(self.leases):
            if former[0] == process[0] and former[1] < process[1]:
                self._drop(former)

    def _drop(self, process: ProcessKey) -> None:
        self.leases.pop(process)
        self.closed_until.pop(process, None)


def find_assignable(slots: int, entry_count: int, unheard: int) -> int:
    """Return how many slots can be assigned to the entries in touch.

    The others use some slots on their own, at random; the square root is about
    the standard deviation of their number.
    """
    expected = slots * UNASSIGNED_SHARE * unheard / max(1, entry_count)
    return max(0, slots - round(expected + _MARGIN * math.sqrt(expected)))


def _drop_lost(held: _Held, running: Mapping[str, int], now: float) -> None:
    """Drop slots assigned long ago to entries that no longer report."""
    for entry in held.keys() - running.keys():
        held[entry] = {
            request_id: since
            for request_id, since in held[entry].items()
            if now - since <= _LOST_S
        }
