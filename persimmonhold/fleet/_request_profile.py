"""What the headers of a request tell, without its body."""

from typing import final

import msgspec


@final
class RequestProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Id, model, adapter, prompt length and deadline of a request.

    `request_id` is chosen by the caller. `deadline_ms` counts from arrival
    and is None if the caller set no deadline.
    """

    request_id: str
    model: str = ''
    adapter: str = ''
    prompt_tokens: int = 0
    deadline_ms: float | None = None
