"""Records what the head of a response states about its upstream."""

from collections.abc import Container
from typing import Final, final

from persimmonhold.attempts import ResponseVerdict, judge_response
from persimmonhold.fleet import UpstreamFacts
from persimmonhold.forwarding._decoded_response_head import (
    DecodedResponseHead,
)
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.observability import LogLevel, log_event, metric

_MAX_LOGGED_ID_CHARS: Final = 64  # an upstream may write anything there


@final
class StatementRecorder:
    """Records the statements in responses to requests to one upstream."""

    __slots__ = ('services', 'upstream')

    def __init__(
        self, services: ForwardServices, upstream: UpstreamFacts
    ) -> None:
        """Create the recorder of an attempt at an upstream."""
        self.services = services
        self.upstream = upstream

    def record(
        self,
        decoded_head: DecodedResponseHead,
        request_id: str,
        sent_at: float,
        carried_ids: Container[str],
    ) -> ResponseVerdict:
        """Judge whether a response is that to a request sent then.

        `carried_ids` are the requests that were sent on its connection.
        Its statements are recorded; a response that is not accepted is logged
        and counted.
        """
        verdict = judge_response(
            decoded_head.request_id,
            request_id,
            states_not_run=decoded_head.is_not_run,
            must_be_named=True,
            carried_ids=carried_ids,
        )
        if verdict.is_for_request:
            self._record_limit(decoded_head, sent_at)
        else:
            self._record_unaccepted(decoded_head, request_id, verdict)
        if verdict.is_for_request or decoded_head.process:
            self._record_availability(decoded_head)
        return verdict

    def _record_unaccepted(
        self,
        decoded_head: DecodedResponseHead,
        request_id: str,
        verdict: ResponseVerdict,
    ) -> None:
        self.services.metrics.increment(
            metric.UNACCEPTED_RESPONSES, verdict=verdict.value
        )
        log_event(
            'response_not_accepted',
            LogLevel.warning,
            request_id=request_id,
            upstream=self.upstream.name,
            verdict=verdict.value,
            named_request=decoded_head.request_id[:_MAX_LOGGED_ID_CHARS],
            status=decoded_head.status,
            not_run_stated=decoded_head.is_not_run,
        )

    def _record_limit(
        self, decoded_head: DecodedResponseHead, sent_at: float
    ) -> None:
        """Record the limit and the brittleness that a response states.

        A limit that is not a number neither sets nor ends a limit.
        """
        if decoded_head.process not in {'', self.upstream.name}:
            return
        self.services.hub.brittle.record_response(
            self.upstream.process_key, decoded_head.refusals_per_s, sent_at
        )
        if decoded_head.is_limit_readable:
            self.services.hub.record_stated_limit(
                self.upstream.process_key, decoded_head.limit_per_s, sent_at
            )
            return
        left_out = self._sample('unreadable_limit')
        if left_out is not None:
            log_event(
                'unreadable_limit',
                LogLevel.warning,
                upstream=self.upstream.name,
                left_out=left_out,
            )

    def _record_availability(self, decoded_head: DecodedResponseHead) -> None:
        """Record whether the process that answered wants no new requests.

        A late response to another request counts only if it names its process.
        """
        process = self.upstream.process_key
        if decoded_head.process not in {'', self.upstream.name}:
            process = self.services.hub.sparing.find_process(
                decoded_head.process
            )
        self.services.hub.sparing.record_response(
            process,
            is_leaving=decoded_head.is_leaving,
            turned_away_s=decoded_head.turned_away_s,
        )
        for statement in decoded_head.unusual_statements:
            self._log_unusual(statement, process[0], decoded_head)

    def _log_unusual(
        self, statement: str, upstream: str, decoded_head: DecodedResponseHead
    ) -> None:
        """Log a statement that was read with caution, and how."""
        left_out = self._sample(f'unusual_{statement}')
        if left_out is not None:
            log_event(
                'unusual_statement',
                LogLevel.warning,
                upstream=upstream,
                statement=statement,
                is_leaving=decoded_head.is_leaving,
                turned_away_s=decoded_head.turned_away_s,
                refusals_per_s=decoded_head.refusals_per_s,
                left_out=left_out,
            )

    def _sample(self, kind: str) -> int | None:
        """Return how many lines of a kind were left out; None for this one."""
        return self.services.sampler.admit(kind, self.services.hub.clock())
