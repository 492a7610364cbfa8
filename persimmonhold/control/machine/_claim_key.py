"""The command that claims an idempotency key before dispatch."""

from typing import final

import msgspec


@final
class ClaimKey(msgspec.Struct, frozen=True, kw_only=True, tag='claim_key'):
    """Claims the key of a caller at a service for one request.

    `content_digest` tells a resend from another request under the same key.
    `request_id` identifies the claiming request, so that a resend of this
    command is granted again. The command is refused if `incarnation` is set
    and differs from that of the registered VM.
    """

    at_ms: int
    caller: str
    service: str
    key: str
    content_digest: str
    request_id: str
    vm: str
    incarnation: str = ''
