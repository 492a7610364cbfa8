"""The message that tells the fleet controller the usage of workspaces."""

from typing import final

import msgspec


@final
class UsedTokens(msgspec.Struct, frozen=True, array_like=True):
    """What an entry has forwarded for one workspace since its last message."""

    workspace: str
    requests: int
    tokens: int


@final
class WorkspaceUsage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='workspace_usage',
    array_like=True,
):
    """What an entry has forwarded for workspaces since its last message.

    Operators see it; limits do not depend on it, so a lost message is not sent
    again. `sequence` increases with each message of an `incarnation` of an
    entry, so that a repeated one counts once.
    """

    incarnation: str
    sequence: int
    used: tuple[UsedTokens, ...]
