"""That an upstream begins to count as leaving, or no longer does."""

from typing import final

import msgspec


@final
class LeavingChange(msgspec.Struct, frozen=True):
    """A change of whether the process of an upstream leaves, for the log.

    `sources` tell who says that it leaves: the list, its reports, or its
    responses to entries.
    """

    upstream: str
    born_ms: int
    is_leaving: bool
    sources: tuple[str, ...]
