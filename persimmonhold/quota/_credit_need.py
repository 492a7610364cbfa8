"""The credit that one request needs."""

from typing import final

import msgspec

from persimmonhold.routes import WorkspaceLimit


@final
class CreditNeed(msgspec.Struct, frozen=True, kw_only=True):
    """The credit that one request needs, and the limit that it comes under.

    `entry_count` is the number of entries that keep the limit together.
    """

    workspace: str
    limit: WorkspaceLimit
    cost: float
    entry_count: int = 1
