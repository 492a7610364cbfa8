"""Decodes the workspaces of the operator's configuration."""

from typing import Final, final

import msgspec

from persimmonhold.platform._wire_types import Count, Integer, Name, Rate
from persimmonhold.routes import Workspace, WorkspaceLimit, hash_key

_TOKEN_UNIT: Final = 'token_stream'  # rates in other units count requests


@final
class WireTenant(msgspec.Struct, frozen=True, rename='kebab'):
    """A workspace; a rate of 0 means that it has no limit."""

    name: Name
    api_keys: tuple[str, ...] = ()
    priority: Integer = 0
    unit: str = ''
    uncached_tokens: Count = 0
    rate_per_s: Rate = 0.0
    burst: Rate = 0.0


def convert_tenant(wire: WireTenant) -> Workspace:
    """Return the workspace, which has digests in place of keys."""
    limit = WorkspaceLimit(
        per_s=wire.rate_per_s,
        burst=wire.burst,
        counts_tokens=wire.unit == _TOKEN_UNIT,
        default_tokens=wire.uncached_tokens,
    )
    return Workspace(
        name=wire.name,
        key_hashes=tuple(map(hash_key, wire.api_keys)),
        priority=wire.priority,
        limit=limit if wire.rate_per_s else None,
    )
