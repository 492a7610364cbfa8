"""Sums up why requests were lost or late, from the logs of entries."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import Any, Final, final

import msgspec

from persimmonhold.explanation._log_line import LogLine
from persimmonhold.explanation._loss_cause import LossCause

_MS_PER_S: Final = 1000.0
_HELD_MS: Final = 1000.0
_LONG_SHARE: Final = 0.5  # of the time to the first byte
_FIRST_ERROR_STATUS: Final = 400
_MODELS_SHOWN: Final = 3
_SERVED: Final = frozenset(('answered', 'relayed'))
_NO_PLACE_REASONS: Final = frozenset((
    'no_capacity',
    'refused_by_all',
    'request_limit',
    'upstreams_leaving',
    'upstreams_turned_away',
))


@final
class LossSum(msgspec.Struct, frozen=True, kw_only=True):
    """The requests that were lost for one cause.

    `waited_s` is how long they were held in all, `models` the models with most
    of them, and `worst_second` the second with most, counted from the first
    line of the logs.
    """

    cause: LossCause
    requests: int
    waited_s: float
    models: tuple[tuple[str, int], ...]
    worst_second: int


@final
class LossReport:
    """Groups the ends of requests by the cause of their loss.

    `answered` counts those that were neither lost nor late. `sent_in_vain`
    counts attempts that an upstream refused, whatever became of the request.
    """

    __slots__ = ('answered', 'sent_in_vain', 'sums')

    def __init__(self, lines: Iterable[LogLine]) -> None:
        """Read the lines of all entries of a time."""
        sorted_lines = sorted(lines, key=lambda line: line.timestamp_s)
        waited_ms: defaultdict[str, float] = defaultdict(float)
        lost: defaultdict[LossCause, list[LogLine]] = defaultdict(list)
        self.answered = 0
        self.sent_in_vain = 0
        for line in sorted_lines:
            request_id = str(line.fields.get('request_id', ''))
            if line.event in {'attempt', 'turned_away'}:
                waited = float(line.fields.get('waited_ms', 0))
                waited_ms[request_id] += waited
                self.sent_in_vain += _is_refused_attempt(line)
            elif line.event == 'request' and not line.fields.get('from_entry'):
                cause = find_loss_cause(line.fields, waited_ms[request_id])
                if cause is None:
                    self.answered += 1
                else:
                    lost[cause].append(line)
        begin_s = sorted_lines[0].timestamp_s if sorted_lines else 0.0
        self.sums = tuple(
            _sum_up(cause, lost[cause], begin_s)
            for cause, _ in Counter({
                cause: len(ends) for cause, ends in lost.items()
            }).most_common()
        )

    def format_text(self) -> str:
        """Return a line for each cause, the most frequent one first."""
        total = self.answered + sum(one.requests for one in self.sums)
        rows = [
            f'{total} requests, {self.answered} answered in time,'
            f' {self.sent_in_vain} attempts refused by upstreams'
        ]
        rows.extend(
            f'{one.cause:18} {one.requests:6} requests,'
            f' {one.waited_s:8.1f} s held, most in second {one.worst_second}'
            f' ({_format_models(one.models)})'
            for one in self.sums
        )
        return '\n'.join(rows)


def find_loss_cause(
    end: Mapping[str, Any], waited_ms: float
) -> LossCause | None:
    """Return why a request was lost or late; None if it was not.

    `end` are the fields of its last line, and it waited `waited_ms` for places.
    """
    status = int(end.get('status', 0))
    first_ms = float(end.get('first_ms', 0))
    is_sent = int(end.get('runs', 0)) > 0
    if 0 < status < _FIRST_ERROR_STATUS and end.get('outcome') in _SERVED:
        is_long = waited_ms >= _HELD_MS and waited_ms > _LONG_SHARE * first_ms
        return LossCause.waited_long if is_long else None
    if is_sent:
        return LossCause.failed_after_send
    if float(end.get('total_ms', 0)) >= _HELD_MS:
        return LossCause.held_in_vain
    if end.get('outcome') == 'no_upstream':
        return LossCause.model_nowhere
    if end.get('outcome') in _NO_PLACE_REASONS:
        return LossCause.no_place
    return LossCause.other_refusal


def _is_refused_attempt(line: LogLine) -> bool:
    return line.event == 'attempt' and line.fields.get('end') in {
        'absent',
        'full',
        'replaced',
    }


def _sum_up(cause: LossCause, lines: list[LogLine], begin_s: float) -> LossSum:
    models = Counter(str(line.fields.get('model', '')) for line in lines)
    seconds = Counter(int(line.timestamp_s - begin_s) for line in lines)
    total_ms = sum(float(line.fields.get('total_ms', 0)) for line in lines)
    return LossSum(
        cause=cause,
        requests=len(lines),
        waited_s=round(total_ms / _MS_PER_S, 1),
        models=tuple(models.most_common(_MODELS_SHOWN)),
        worst_second=seconds.most_common(1)[0][0],
    )


def _format_models(models: tuple[tuple[str, int], ...]) -> str:
    named = (f'{model or "no model"} {count}' for model, count in models)
    return ', '.join(named)
