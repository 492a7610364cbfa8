"""What the headers of a request state; its body is not decoded."""

from typing import final

import msgspec


@final
class RequestProfile(msgspec.Struct, frozen=True, kw_only=True):
    """What the dispatcher needs to know of a request, from its headers.

    `request_id` is chosen by the caller. `output_tokens` is the most that the
    response may have, or 0 if unknown. `deadline_ms` is the time from arrival
    within which the caller wants the response; None if it set no limit.
    `prompt_parts` are the ids of the parts of its prompt in order; other
    requests may share all of them but the last. `part_tokens` are the prompt
    tokens of each part. `caller` is its address without the port. `fingerprints` recognize repeats, see `fingerprint_request`; empty
    before the body was read. If it `goes_on` with a stream, `begun_as` is the id
    of the request that brought its first event, or empty if unknown.
    """

    request_id: str
    model: str = ''
    adapter: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    deadline_ms: float | None = None
    prompt_parts: tuple[str, ...] = ()
    part_tokens: tuple[int, ...] = ()
    caller: str = ''
    fingerprints: tuple[str, ...] = ()
    goes_on: bool = False
    begun_as: str = ''

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """What other requests may have in common with this one."""
        return (*self.fingerprints, *self.prompt_parts[:-1])

    @property
    def all_parts(self) -> tuple[str, ...]:
        """The fingerprints and all parts of the prompt."""
        return (*self.fingerprints, *self.prompt_parts)
