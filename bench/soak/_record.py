"""What callers, upstreams and the soak itself saw."""

from collections import defaultdict
from typing import TypeAlias, final

from bench.soak._call import Call
from bench.soak._run import Run
from bench.soak._stop import Stop
from bench.soak._stream import Stream

_Spans: TypeAlias = list[tuple[float, float]]


@final
class Record:
    """Calls, runs by request id, stops, kills and freezes by VM, failures.

    `streams` are those that callers took up after they had broken. Kills and
    freezes are pairs of times in seconds of the loop; `starts` has the times at
    which processes were started.
    """

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.runs: defaultdict[str, list[Run]] = defaultdict(list)
        self.stops: list[Stop] = []
        self.disruptions: defaultdict[str, _Spans] = defaultdict(list)
        self.failures: list[str] = []
        self.streams: list[Stream] = []
        self.starts: defaultdict[str, list[float]] = defaultdict(list)

    def is_disrupted(self, vm: str, start: float, end: float) -> bool:
        """Tell whether a VM was killed or frozen between two times."""
        return any(
            began_at <= end and ended_at >= start
            for began_at, ended_at in self.disruptions[vm]
        )
