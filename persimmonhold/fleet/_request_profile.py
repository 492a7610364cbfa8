"""What is known of a request without reading its body."""

from typing import final

import msgspec


@final
class RequestProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Id, model, length of the prompt and the time that the caller waits.

    `request_id` is that of the caller; `deadline_ms` counts from the arrival
    and is None where the caller named none.
    """

    request_id: str
    model: str = ''
    adapter: str = ''
    prompt_tokens: int = 0
    deadline_ms: float | None = None
