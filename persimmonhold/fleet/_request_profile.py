"""What is known of a request without reading its body."""

from typing import final

import msgspec


@final
class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt that other prompts may begin with too."""

    part: str
    tokens: int


@final
class RequestProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Id, model, sizes in tokens and the time that the caller waits.

    `request_id` is that of the caller; `deadline_ms` counts from the arrival
    and is None where the caller named none. `resumes_after` is the event
    after which a caller goes on with a broken stream.
    """

    request_id: str
    model: str = ''
    adapter: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    deadline_ms: float | None = None
    resumes_after: str = ''
