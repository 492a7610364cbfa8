"""A request to be dispatched to an upstream."""

from typing import Final, final

import msgspec

from persimmonhold.fleet._request_profile import RequestProfile
from persimmonhold.routes import ForwardRoute

# Of a response whose limit is not stated; the usual length of a stream.
_DEFAULT_OUTPUT_TOKENS: Final = 288


@final
class DispatchRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What the dispatcher knows of a request; times are seconds of its clock.

    `number` identifies it at this entry. Its head came at `arrived_at`, the end
    of its body at `received_at`, if that is known. `due_at` is when its first
    event or plain response is due. The caller is expected to give up after
    `caller_waits_until` if it has received nothing. At `ends_at` the response
    must be complete. `is_engine` tells that the service runs models.
    Only upstreams of `build` may run it, if it is not empty. `workspace` is the
    name of the workspace that its key belongs to, or empty. Requests with a
    lower `priority` are more urgent: that of the workspace comes first, then
    that of the route.
    """

    number: int
    service: str
    route: ForwardRoute
    profile: RequestProfile
    arrived_at: float
    due_at: float
    caller_waits_until: float
    ends_at: float
    is_engine: bool = False
    build: str = ''
    workspace: str = ''
    workspace_priority: int = 0
    received_at: float = 0

    @property
    def priority(self) -> tuple[int, int]:
        """The priority of the workspace, then that of the route."""
        return self.workspace_priority, self.route.priority

    @property
    def expected_tokens(self) -> int:
        """The tokens that the request is expected to take, both ways."""
        profile = self.profile
        output = profile.output_tokens or _DEFAULT_OUTPUT_TOKENS
        return profile.prompt_tokens + output
