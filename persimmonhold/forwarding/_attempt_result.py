"""The result of one attempt at an upstream."""

from typing import final

import msgspec

from persimmonhold.fleet import AttemptEnd
from persimmonhold.web import ResponseHead


@final
class CompleteResponse(msgspec.Struct, frozen=True):
    """A response received in full and not yet sent to the caller."""

    head: ResponseHead
    body: bytes


@final
class AttemptResult(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended; `ForwardRunner` decides by it how to go on.

    `may_have_run` is False only where nothing was sent or the upstream stated
    that it did not run the request. `response` is a complete response that
    has not been sent to the caller; `is_delivered` means that the caller has
    already received a streamed response in full. `is_cut` means that the
    upstream closed or reset the connection before the response was complete;
    of a kept one that was closed without a response, that its process is gone.
    `is_unanswered` means that a pooled connection was closed after the request
    was written to it, before the attempt that the other fields describe.
    `is_silent` means that nothing of a response arrived after the request was
    sent. `is_refusal` means that a process that may have run the request refused
    it. `streamed_s` is how long ago its first event arrived, or None without one.
    For the log: `requests_before` is how many requests the connection had carried
    before; `body_end` is what marked the end of the body, or '' without a response head;
    `is_within_event` means that the last event received was incomplete.
    """

    end: AttemptEnd
    may_have_run: bool
    response: CompleteResponse | None = None
    is_delivered: bool = False
    detail: str = ''
    is_cut: bool = False
    is_unanswered: bool = False
    is_silent: bool = False
    is_refusal: bool = False
    streamed_s: float | None = None
    body_end: str = ''
    is_within_event: bool = False
    requests_before: int = 0
