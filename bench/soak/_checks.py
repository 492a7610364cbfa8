"""Checks the promises of planned stops against a record.

Stricter than the rules: a request that is cut counts at any time, not only around
planned work, and also if the entry has not read it 0.2 s after it was sent, which a
record does not show. Laxer: a request that was sent ahead, behind a response that
breaks off, is not judged. Times are those of the soak's loop; where that was late by
more than 0.2 s, the log of the entry decides.
"""

from collections.abc import Iterator
from typing import Final

from bench.soak._call import Call, CallEnd
from bench.soak._record import Record
from bench.soak._stop import Stop

# A kill or freeze excuses a VM for this long.
_CONTACT_S: Final = 3.0
# A request that crosses the close of its connection is cut within this time.
_LOSS_SLACK_S: Final = 0.2
# A request that is sent this long after SIGTERM may be cut while its upstream
# works on it in the last part of the grace period.
_EARLY_S: Final = 3.0
_LAST_PART: Final = 1 / 6
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
_JOINED_ALLOWED: Final = 2
_SUCCESSES: Final = range(200, 300)
_CLIENT_ERRORS: Final = range(400, 500)


def find_violations(record: Record) -> Iterator[str]:
    """Describe all broken promises; a pending call breaks none."""
    yield from record.failures
    for call in record.calls:
        problem = call.problem or _find_status_problem(call)
        problem = problem or _find_run_problem(record, call)
        if call.end in {CallEnd.cut, CallEnd.timed_out}:
            problem = problem or _find_loss(record, call)
        if problem:
            yield f'{call.request_id} at {call.vm}: {problem}'
    joined = [one for one in record.streams if len(one.versions) > 1]
    if len(joined) > _JOINED_ALLOWED:
        ids = [one.begun_as for one in joined]
        yield f'streams of two versions: {ids}'
    for stop in record.stops:
        is_excused = record.is_disrupted(
            stop.vm, stop.term_at - _CONTACT_S, stop.ended_at
        )
        if stop.code and not is_excused:
            length_s = stop.ended_at - stop.term_at
            yield f'{stop.vm}: stop ended with {stop.code} ({length_s:.2f} s)'


def _find_status_problem(call: Call) -> str:
    """Return what is wrong with a response of the entry's own, or ''."""
    if call.is_signed:
        return ''
    if call.status in _SUCCESSES:
        return 'success without a signature'
    is_denied = call.status not in _NOT_RUN_STATUSES
    if call.status in _CLIENT_ERRORS and is_denied:
        return f'proper request denied with {call.status}'
    return ''


def _find_run_problem(record: Record, call: Call) -> str:
    """Return what is wrong with the runs of a request, or ''."""
    upstreams = [run.upstream for run in record.runs.get(call.request_id, ())]
    if len(upstreams) > 1 and not call.is_repeatable:
        return f'ran more than once: {upstreams}'
    is_refused = call.status in _NOT_RUN_STATUSES and not call.is_signed
    if upstreams and is_refused:
        return f'{call.status}, but ran: {upstreams}'
    return ''


def _find_loss(record: Record, call: Call) -> str:
    """Describe a request that got no whole answer, or return ''."""
    runs = record.runs.get(call.request_id, ())
    lasted_s = call.ended_at - call.sent_at
    since = call.sent_at - _CONTACT_S
    is_excused = record.is_disrupted(call.vm, since, call.ended_at)
    if call.end is CallEnd.cut:
        stop = _find_stop(record, call)
        is_excused = (
            is_excused
            or (lasted_s <= _LOSS_SLACK_S and not runs)
            or call.ended_at - call.begun_at >= call.deadline_s
            or any(run.has_broken for run in runs)
            or (stop is not None and _worked_late(record, call, stop))
        )
    if is_excused:
        return ''
    after = ', '.join(
        f'{call.ended_at - stop.term_at:.3f} s after SIGTERM'
        for stop in record.stops
        if stop.vm == call.vm and stop.term_at <= call.ended_at
    )
    return (
        f'no whole answer: {call.end.value} {lasted_s:.3f} s after it was sent,'
        f' status {call.status}, {len(runs)} runs; {after}'
    )


def _find_stop(record: Record, call: Call) -> Stop | None:
    """Return the stop during which a call ended, if any."""
    for stop in record.stops:
        latest = stop.term_at + stop.grace_s + 1
        if stop.vm == call.vm and stop.term_at <= call.ended_at <= latest:
            return stop
    return None


def _worked_late(record: Record, call: Call, stop: Stop) -> bool:
    """Tell whether an upstream worked late in the grace period on a call."""
    last_part_at = stop.term_at + stop.grace_s * (1 - _LAST_PART)
    return call.sent_at <= stop.term_at + _EARLY_S and any(
        run.ended_at >= last_part_at for run in record.runs[call.request_id]
    )
