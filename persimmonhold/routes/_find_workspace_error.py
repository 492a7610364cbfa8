"""Checks the workspaces of a routing document.

The leader checks a document by this before it proposes it, as with
`find_engine_error`. Errors name keys by their fingerprint.
"""

import math
from collections.abc import Iterator
from typing import Final

from persimmonhold.routes._routing_document import RoutingDocument
from persimmonhold.routes._workspace import (
    Workspace,
    WorkspaceLimit,
    fingerprint_key,
    hash_key,
)

_MAX_WORKSPACES: Final = 4096
_MAX_KEYS: Final = 65_536
_MAX_LIMIT: Final = 1e12  # units a second, or units
_EMPTY_KEY_HASH: Final = hash_key('')


def find_workspace_error(document: RoutingDocument) -> str:
    """Return why the workspaces are not valid, or an empty string."""
    return next(_find_errors(document.workspaces or ()), '')


def _find_errors(workspaces: tuple[Workspace, ...]) -> Iterator[str]:
    if len(workspaces) > _MAX_WORKSPACES:
        yield f'{len(workspaces)} workspaces: at most {_MAX_WORKSPACES}'
    key_count = sum(len(one.key_hashes) for one in workspaces)
    if key_count > _MAX_KEYS:
        yield f'{key_count} keys: at most {_MAX_KEYS}'
    names: set[str] = set()
    holders: dict[str, str] = {}
    for workspace in workspaces:
        if not _is_header_text(workspace.name):
            yield 'the name of a workspace is empty or cannot be in a header'
        if workspace.name in names:
            yield f'two workspaces have the name {workspace.name}'
        names.add(workspace.name)
        yield from _find_key_errors(workspace, holders)
        if workspace.limit is not None and not _is_limit(workspace.limit):
            yield (
                f'workspace {workspace.name}: rate and burst have to be from'
                f' 0 to {_MAX_LIMIT:.0e}'
            )


def _find_key_errors(
    workspace: Workspace, holders: dict[str, str]
) -> Iterator[str]:
    """Check the keys; `holders` are the workspaces of those seen so far."""
    for key_hash in workspace.key_hashes:
        if key_hash == _EMPTY_KEY_HASH:
            yield f'workspace {workspace.name}: a key is empty'
        holder = holders.get(key_hash)
        if holder is not None:
            yield (
                f'key {fingerprint_key(key_hash)} is listed twice, in'
                f' workspaces {holder} and {workspace.name}'
            )
        holders[key_hash] = workspace.name


def _is_header_text(name: str) -> bool:
    """Tell whether a name can be the value of a header as it is."""
    return bool(name) and name == name.strip() and name.isprintable()


def _is_limit(limit: WorkspaceLimit) -> bool:
    numbers = (limit.per_s, limit.burst, float(limit.default_tokens))
    return all(
        math.isfinite(number) and 0 <= number <= _MAX_LIMIT
        for number in numbers
    )
