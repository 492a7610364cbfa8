"""Heads of requests and answers, as the platform writes them."""

import math
from typing import Final, final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.fleet import RequestProfile
from persimmonhold.forwarding import (
    Dialect,
    ForwardParameters,
    UpstreamResponseHead,
)
from persimmonhold.platform import _names as names
from persimmonhold.web import (
    Headers,
    RequestHead,
    ResponseHead,
    encode_headers,
    end_to_end_headers,
)

_MISDIRECTED: Final = 421
_EVENTS: Final = 'text/event-stream'


@final
class PlatformDialect(Dialect):
    """The headers of the platform."""

    def decode_profile(self, head: RequestHead) -> Result[RequestProfile, str]:
        """Decode the headers that a caller sets."""
        request_id = head.header(names.REQUEST_ID)
        if not request_id:
            return Failed(f'the header {names.REQUEST_ID} is missing')
        model, _, adapter = head.header(names.MODEL).partition('/')
        try:
            prompt = _read_prompt_tokens(head.header(names.TOKEN_COUNTS))
            deadline_ms = _read_deadline(head.header(names.DEADLINE_MS))
        except ValueError as error:
            return Failed(f'malformed header: {error}')
        return Success(
            RequestProfile(
                request_id=request_id,
                model=model,
                adapter=adapter,
                prompt_tokens=prompt,
                deadline_ms=deadline_ms,
            ),
        )

    def build_request_headers(
        self,
        head: RequestHead,
        parameters: ForwardParameters,
    ) -> Headers:
        """Pass the caller's headers on, and set those of the system."""
        passed = tuple(
            pair
            for pair in end_to_end_headers(head.headers)
            if pair[0] not in names.SET_BY_SYSTEM
        )
        own = {
            names.DEADLINE_MS: str(parameters.time_left_ms),
            names.EXPECTED_PROCESS: parameters.upstream,
        }
        resumed = parameters.resume_after or head.header(names.RESUME_AFTER)
        if resumed:
            own[names.RESUME_AFTER] = resumed
        if head.header(names.MODEL):
            own[names.URGENCY] = str(parameters.urgency)
        return (*passed, *encode_headers(own))

    def decode_response_head(
        self,
        head: ResponseHead,
        request_id: str,
    ) -> UpstreamResponseHead:
        """Decode the headers that an upstream sets."""
        is_misdirected = head.status == _MISDIRECTED
        echoed = head.header(names.REQUEST_ID)
        not_run = is_misdirected or bool(head.header(names.NOT_RUN))
        return UpstreamResponseHead(
            status=head.status,
            is_for_request=echoed == request_id or (not_run and not echoed),
            is_signed=bool(head.header(names.SIGNATURE)),
            is_not_run=not_run,
            is_misdirected=is_misdirected,
            process=head.header(names.ANSWERING_PROCESS),
            is_event_stream=head.header('content-type').startswith(_EVENTS),
        )

    def build_refusal_headers(self, retry_after_s: float | None) -> Headers:
        """Encode when to come back; fractions of seconds are allowed."""
        if retry_after_s is None:
            return ()
        return encode_headers({names.RETRY_AFTER: f'{retry_after_s:.2f}'})


def _read_prompt_tokens(text: str) -> int:
    """Return the first of the two counts; none where they are missing."""
    return int(text.partition(',')[0] or 0)


def _read_deadline(text: str) -> float | None:
    if not text:
        return None
    deadline_ms = float(text)
    if not math.isfinite(deadline_ms) or deadline_ms < 0:
        raise ValueError(f'deadline {text}')
    return deadline_ms
