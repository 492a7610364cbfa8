"""Explains one request: its log lines, and the cause of its outcome."""

from collections.abc import Iterable
from types import MappingProxyType
from typing import Any, Final, final

from persimmonhold.explanation._log_line import LogLine

# State changes up to 1 s before a request may explain its outcome.
_CONTEXT_MARGIN_S: Final = 1.0
_FIRST_ERROR: Final = 400  # status
_CONTEXT_EVENTS: Final = frozenset((
    'drain',
    'fleet_continues',
    'fleet_paused',
    'fleet_term_begins',
    'fleet_term_ends',
    'list_failed',
    'list_read_by_entry',
    'order',
    'placement',
    'prompt_quarantined',
    'quarantine_in_force',
    'report_failed',
    'routes_in_force',
    'service_in_reach',
    'service_out_of_reach',
    'started',
    'sparing_begins',
    'sparing_ends',
    'stopped',
    'upstream_brittle',
    'upstream_brittle_reported',
    'upstream_leaving_reported',
    'upstream_limit',
    'upstream_limit_reported',
))
_REASON_TEXTS: Final = MappingProxyType({
    'no_capacity': 'every upstream that could run it was full or closed until'
    ' its caller would have left',
    'request_limit': 'every upstream that could run it had stated a request'
    ' limit, and no permit was expected in time',
    'quota': 'its workspace had no credit left of the limit that all entries'
    ' keep together, or the entry did not reach the fleet controller',
    'quarantined_prompt': 'upstreams had ended when they began to answer'
    ' equal requests, or requests with a part of its prompt',
    'unknown_stream': 'nobody knew at which software version the stream that'
    ' it goes on with had begun',
    'no_upstream_of_version': 'no upstream of the software version at which'
    ' its stream had begun took requests',
    'upstreams_turned_away': 'every upstream that could run it had turned'
    ' requests of this entry away until its caller would have left',
    'upstreams_leaving': 'every upstream that could run it had stated that it'
    ' leaves',
    'refused_by_all': 'every upstream that could run it had refused it, and a'
    ' call that may not be repeated goes to each of them once',
    'no_upstream': 'no upstream had the model loaded in time',
    'out_of_reach': 'the entry reached no upstream of its service, and no other'
    ' entry could run it',
    'relayed': 'the entry reached no upstream of its service; another entry ran'
    ' it',
    'retry_budget_spent': 'upstreams refused it and the retry budget of'
    ' this entry was spent',
    'isolated': 'the entry could not confirm that its routes were current',
    'unknown_model': 'no configured service has its model',
    'unknown_key': 'no workspace of the version in force held its key, at its'
    ' arrival or before it was sent',
    'revocation_unsure': 'the entry could not confirm in time that no key had'
    ' been withdrawn',
    'no_route': 'no route of the version in force matched its host and path',
    'malformed_request': 'its headers could not be read',
    'upstream_failed': 'the upstream failed after it may have run the request,'
    ' which may not be repeated, or no further attempt was left',
    'stream_broken': 'the upstream broke off its stream, which could not be'
    ' resumed',
    'stopping': 'the entry was told to stop, and could not finish it in time',
    'time_over': 'the deadline of its route or caller had passed',
    'abandoned': 'its caller disconnected',
    'cut': 'the entry closed its connection without a response',
})


@final
class RequestExplanation:
    """The log lines about a request, and related state changes.

    `context` holds the events around the request that concern its upstreams,
    its model, or a VM that logged it.
    """

    __slots__ = ('context', 'lines', 'request_id')

    def __init__(self, request_id: str, lines: Iterable[LogLine]) -> None:
        """Select the lines about a request, and its context."""
        self.request_id = request_id
        sorted_lines = sorted(lines, key=lambda line: line.timestamp_s)
        self.lines = [
            line
            for line in sorted_lines
            if line.fields.get('request_id') == request_id
        ]
        self.context = self._select_context(sorted_lines)

    @property
    def cause(self) -> str:
        """One sentence that names the outcome and its reason."""
        if not self.lines:
            return f'no line about the request {self.request_id}'
        last = self._find_end()
        if last.event == 'refused':
            return self._describe_failure(
                'refused', str(last.fields.get('reason'))
            )
        if last.event != 'request':
            return (
                'no end of the request in the logs: the entry or its log'
                ' was lost'
            )
        outcome = str(last.fields.get('outcome'))
        if outcome == 'answered':
            return self._describe_answer(last.fields)
        if outcome == 'relayed' and last.fields.get('status', 0) < _FIRST_ERROR:
            entry = self._describe_attempts('relay', 'entry')
            answer = self._describe_answer(last.fields)
            return f'{answer}; relayed to another entry ({entry})'
        return self._describe_failure('not served', outcome)

    def format_text(self) -> str:
        """Return the context and the lines by time, then the cause."""
        if not self.lines:
            return self.cause
        since_s = self.lines[0].timestamp_s
        shown_lines = sorted(
            (*self.context, *self.lines),
            key=lambda line: line.timestamp_s,
        )
        formatted = [line.format_text(since_s) for line in shown_lines]
        return '\n'.join((*formatted, f'cause: {self.cause}'))

    def _describe_failure(self, result: str, reason: str) -> str:
        reason_text = _REASON_TEXTS.get(reason, 'see the lines above')
        attempt_texts = '; '.join(
            filter(
                None,
                (
                    self._describe_attempts('attempt', 'upstream'),
                    self._describe_attempts('relay', 'entry'),
                ),
            )
        )
        attempts = (
            f' (attempts: {attempt_texts})'
            if attempt_texts
            else ' (never sent)'
        )
        return f'{result}, {reason}: {reason_text}{attempts}'

    def _find_end(self) -> LogLine:
        """Return the end at the entry of the caller, else the last line."""
        last = self.lines[-1]
        if not last.fields.get('from_entry'):
            return last
        ends = (
            line
            for line in reversed(self.lines)
            if line.event == 'request' and not line.fields.get('from_entry')
        )
        return next(ends, last)

    def _describe_attempts(self, event: str, key: str) -> str:
        """List the attempts at upstreams, or the relays to entries."""
        return '; '.join(
            f'{line.fields.get(key)}: {line.fields.get("end")}'
            f' {line.fields.get("detail")}'.strip()
            for line in self.lines
            if line.event == event
        )

    def _describe_answer(self, fields: dict[str, Any]) -> str:
        waited_ms = sum(
            float(line.fields.get('waited_ms', 0))
            for line in self.lines
            if line.event == 'attempt'
        )
        return (
            f'answered with status {fields.get("status")}: first byte after'
            f' {fields.get("first_ms")} ms, of which {waited_ms:.1f} ms waiting'
            f' at the entry; longest pause {fields.get("longest_gap_ms")} ms'
        )

    def _select_context(self, sorted_lines: list[LogLine]) -> list[LogLine]:
        """Return state changes that may have affected the request."""
        if not self.lines:
            return []
        names = {
            str(line.fields.get(key, ''))
            for line in self.lines
            for key in ('upstream', 'model')
        }
        names.discard('')
        context_begin = self.lines[0].timestamp_s - _CONTEXT_MARGIN_S
        total_ms = float(self.lines[-1].fields.get('total_ms', 0))
        begin = min(
            context_begin,
            self.lines[-1].timestamp_s - total_ms / 1000 - _CONTEXT_MARGIN_S,
        )
        sources = {line.source for line in self.lines}
        return [
            line
            for line in sorted_lines
            if begin <= line.timestamp_s <= self.lines[-1].timestamp_s
            and line.event in _CONTEXT_EVENTS
            and (_is_related(line, names) or line.source in sources)
        ]


def _is_related(line: LogLine, names: set[str]) -> bool:
    if 'upstream' not in line.fields and 'model' not in line.fields:
        return True
    return bool(
        names
        & {
            str(line.fields.get('upstream', '')),
            str(line.fields.get('model', '')),
        },
    )
