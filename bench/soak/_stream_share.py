"""Compares the streams that callers take up with those that begin."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, Final, final

import msgspec

from bench.soak._record import Record

# A VM is in touch again this long after it was disrupted or started.
_IN_TOUCH_S: Final = 4.0
# Fewer streams that were taken up show nothing.
_MIN_STREAMS: Final = 12
_MIN_SERVING: Final = 2
_MIN_RATIO: Final = 0.5
_CONTROL: Final = 'c'  # first letter of the names of control VMs


@final
class StreamTry(msgspec.Struct, kw_only=True):
    """A try of a caller to begin a stream, or to go on after event `after`.

    `has_copies_serving` tells whether two upstreams of the version of the stream
    served, at the beginning and the end of the try; of a new stream it is True.
    """

    stream: str
    request_id: str
    vm: str
    sent_at: float
    after: int
    version: str = ''
    has_copies_serving: bool = True
    ended_at: float = 0
    event_count: int = 0
    answer: str = ''


@final
class StreamShare:
    """Counts streams by their tries at VMs in touch."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.tries: list[StreamTry] = []

    def describe(self) -> str:
        """Describe the counts."""
        begun, all_new = self._count(one for one in self.tries if not one.after)
        went_on, taken_up = self._count(self._list_taken_up())
        everywhere = self._count_went_on(one for one in self.tries if one.after)
        answers = Counter(
            one.answer
            for one in self._list_taken_up()
            if not one.event_count and self._is_in_touch(one)
        )
        return (
            f'in touch {begun} of {all_new} new streams began, {went_on} of'
            f' {taken_up} taken up went on (anywhere {everywhere[0]} of'
            f' {everywhere[1]}); answers to others {dict(answers)}'
        )

    def list_failed(self) -> Iterator[str]:
        """Describe the tries at VMs in touch with streams that did not go on."""
        for one in self._list_taken_up():
            if not one.event_count and self._is_in_touch(one):
                lasted_s = one.ended_at - one.sent_at
                yield (
                    f'{one.request_id} at {one.vm} after {one.after} events of'
                    f' {one.version}: {one.answer}, {lasted_s:.2f} s'
                )

    def find_violations(self) -> Iterator[str]:
        """Describe that too few streams that were taken up went on."""
        begun, all_new = self._count(one for one in self.tries if not one.after)
        went_on, taken_up = self._count(self._list_taken_up())
        if taken_up < _MIN_STREAMS or not all_new:
            return
        if went_on / taken_up < _MIN_RATIO * begun / all_new:
            yield f'streams taken up are lost: {self.describe()}'

    def _list_taken_up(self) -> Iterator[StreamTry]:
        return (
            one for one in self.tries if one.after and one.has_copies_serving
        )

    def _count(self, tries: Iterable[StreamTry]) -> tuple[int, int]:
        return self._count_went_on(
            one for one in tries if self._is_in_touch(one)
        )

    @staticmethod
    def _count_went_on(tries: Iterable[StreamTry]) -> tuple[int, int]:
        """Return how many streams brought events in some try, and all."""
        events: Counter[str] = Counter()
        for one in tries:
            events[one.stream] += one.event_count
        return sum(count > 0 for count in events.values()), len(events)

    def _is_in_touch(self, one: StreamTry) -> bool:
        """Tell whether a VM was in touch as it got a try, until the end.

        No VM is while control is not stable.
        """
        since = one.sent_at - _IN_TOUCH_S
        if self._is_disrupted(one.vm, since, one.ended_at):
            return False
        controls = {
            vm
            for vm in (*self.record.disruptions, *self.record.starts)
            if vm.startswith(_CONTROL)
        }
        return not any(
            self._is_disrupted(vm, since, one.sent_at) for vm in controls
        )

    def _is_disrupted(self, vm: str, start: float, end: float) -> bool:
        starts = self.record.starts[vm]
        stops = [stop for stop in self.record.stops if stop.vm == vm]
        return (
            self.record.is_disrupted(vm, start, end)
            or any(start <= at <= end for at in starts)
            or any(
                stop.term_at <= end and stop.ended_at >= start for stop in stops
            )
        )


def has_copies_serving(
    listed: Iterable[dict[str, Any]], service: str, version: str
) -> bool:
    """Tell whether two listed upstreams of a version serve."""
    serving = [
        one['id']
        for one in listed
        if one['service'] == service
        and one.get('version', '') == version
        and one['state'] == 'ready'
    ]
    return len(serving) >= _MIN_SERVING
