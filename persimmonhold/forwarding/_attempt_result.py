"""How an attempt ended, as the request has to know."""

from typing import final

import msgspec

from persimmonhold.fleet import AttemptEnd
from persimmonhold.web import ResponseHead


@final
class CompleteResponse(msgspec.Struct, frozen=True):
    """An answer that came in full and was not passed on yet."""

    head: ResponseHead
    body: bytes


@final
class AttemptResult(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence of one attempt.

    `may_have_run` is False only where nothing was written or the upstream
    said that it did not run the request. `answer` is a whole answer that is
    still to be passed on; `is_delivered` tells that the caller has all of a
    streamed one.
    """

    end: AttemptEnd
    may_have_run: bool
    response: CompleteResponse | None = None
    is_delivered: bool = False
    detail: str = ''
