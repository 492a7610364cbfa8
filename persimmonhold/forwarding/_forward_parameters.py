"""Values that an entry sets on a request that it forwards."""

from typing import final

import msgspec


@final
class ForwardParameters(msgspec.Struct, frozen=True, kw_only=True):
    """What the headers to an upstream state beyond those of the caller.

    `time_left_ms` is left for the response. `upstream` is the upstream meant
    to respond. The most urgent requests have the lowest `urgency`.
    `resume_after` is the id of the last event of a broken stream that was sent
    to the caller. `workspace` is the name of the workspace that holds the key of
    the request; if the document `has_workspaces`, the caller's own headers on
    that are left out.
    """

    time_left_ms: int
    upstream: str
    urgency: int
    resume_after: str = ''
    has_workspaces: bool = False
    workspace: str = ''
