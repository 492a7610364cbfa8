"""Whether the processes that cut a response have ended.

A connection may end though its process lives. That a process has ended is shown by a
later start of a process under its name, by its absence from the list, or by
being unreachable; that it lives, by what it answers afterwards.
"""

import enum
import math
from collections import deque
from collections.abc import Mapping
from typing import Final, TypeAlias, final

ProcessKey: TypeAlias = tuple[str, int]
_MAX_PROCESSES: Final = 512
# A list shows a process that has been replaced at most this long afterwards.
_LIST_LAG_S: Final = 1.0


@final
@enum.unique
class ProcessFate(enum.StrEnum):
    """What became of a process after it cut a response."""

    unknown = 'unknown'
    ended = 'ended'
    survived = 'survived'


@final
class _Traces:
    """When a process last showed that it lives, or that it does not.

    It was certainly alive at `alive_at`. At `answered_at` a process of its
    name answered, and at `unreachable_at` none did. `unconfirmed_at` is the time
    of an answer of which it is still to be found out whose it was, or None.
    It last closed a connection at `cut_at`.
    """

    __slots__ = (
        'alive_at',
        'answered_at',
        'cut_at',
        'has_ended',
        'unconfirmed_at',
        'unreachable_at',
    )

    def __init__(self) -> None:
        self.alive_at = -math.inf
        self.answered_at = -math.inf
        self.cut_at = -math.inf
        self.unreachable_at = -math.inf
        self.unconfirmed_at: float | None = None
        self.has_ended = False


@final
class ProcessFates:
    """Follows the newest of the processes that cut responses.

    `by_name` has the traces of each by name and start time, and `followed` the
    processes from the oldest on.
    """

    __slots__ = ('by_name', 'followed')

    def __init__(self) -> None:
        """Create without processes."""
        self.by_name: dict[str, dict[int, _Traces]] = {}
        self.followed: deque[ProcessKey] = deque()

    def follow(self, process: ProcessKey) -> None:
        """Follow a process from now on."""
        name, born_ms = process
        by_start = self.by_name.setdefault(name, {})
        if born_ms in by_start:
            return
        by_start[born_ms] = _Traces()
        self.followed.append(process)
        if len(self.followed) > _MAX_PROCESSES:
            oldest_name, oldest_start = self.followed.popleft()
            self.by_name[oldest_name].pop(oldest_start)
            if not self.by_name[oldest_name]:
                self.by_name.pop(oldest_name)

    def find(self, process: ProcessKey, cut_at: float) -> ProcessFate:
        """Return what became of a process that cut a response at a time."""
        traces = self._find_traces(process)
        if traces is None:
            return ProcessFate.unknown
        if traces.alive_at > cut_at:
            return ProcessFate.survived
        is_unreachable = traces.unreachable_at > max(cut_at, traces.answered_at)
        if traces.has_ended or is_unreachable:
            return ProcessFate.ended
        return ProcessFate.unknown

    def has_cut_since(self, process: ProcessKey, at: float) -> bool:
        """Tell whether a process closed another connection after a time.

        The end of a process closes all of them at once.
        """
        traces = self._find_traces(process)
        return traces is not None and traces.cut_at > at

    def record_cut(self, process: ProcessKey, at: float) -> None:
        """Record that a process closed a connection with a request.

        After its end, it is another one that the entry does not know of yet.
        """
        traces = self._find_traces(process)
        if traces is None or traces.has_ended:
            return
        if traces.unreachable_at <= traces.cut_at:
            traces.cut_at = max(traces.cut_at, at)

    def record_alive(self, process: ProcessKey, at: float) -> bool:
        """Record that a process answered a question asked at a time.

        Processes of its name that started earlier have ended. Tells whether
        any process of that name is followed.
        """
        name, born_ms = process
        if name not in self.by_name:
            return False
        self._record_start(name, born_ms)
        traces = self._find_traces(process)
        if traces is not None:
            traces.alive_at = max(traces.alive_at, at)
        return True

    def record_answered(self, process: ProcessKey, at: float) -> None:
        """Record an answer by a process of that name, perhaps a later one."""
        traces = self._find_traces(process)
        if traces is not None:
            traces.answered_at = max(traces.answered_at, at)
            if traces.unconfirmed_at is None:
                traces.unconfirmed_at = at

    def record_unreachable(self, process: ProcessKey, at: float) -> None:
        """Record that a process could not be reached at a time."""
        traces = self._find_traces(process)
        if traces is not None:
            traces.unreachable_at = max(traces.unreachable_at, at)

    def record_list(self, listed: Mapping[str, int], read_at: float) -> None:
        """Record the start times of all listed processes.

        A list that is recent enough tells which process gave an answer.
        """
        for name, by_start in self.by_name.items():
            listed_ms = listed.get(name)
            if listed_ms is None:
                for gone in by_start.values():
                    gone.has_ended = True
                continue
            self._record_start(name, listed_ms)
            traces = by_start.get(listed_ms)
            if traces is not None:
                _confirm_answer(traces, read_at - _LIST_LAG_S)

    def _find_traces(self, process: ProcessKey) -> _Traces | None:
        return self.by_name.get(process[0], {}).get(process[1])

    def _record_start(self, name: str, born_ms: int) -> None:
        """Record that processes of a name that started earlier have ended."""
        for former_ms, traces in self.by_name[name].items():
            traces.has_ended |= 0 < former_ms < born_ms


def _confirm_answer(traces: _Traces, before: float) -> None:
    """Take an answer before a time for one of the process itself."""
    at = traces.unconfirmed_at
    if at is not None and at < before:
        traces.alive_at = max(traces.alive_at, at)
        traces.unconfirmed_at = None
