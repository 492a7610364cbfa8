"""What operators see of workspaces; keys are shown by their fingerprints."""

from typing import final

import msgspec

from persimmonhold.routes import (
    RoutingDocument,
    Workspace,
    WorkspaceLimit,
    fingerprint_key,
)
from persimmonhold.usage import UsageBook


@final
class ListedWorkspace(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace of the document in force, as operators see it.

    `keys` are the fingerprints of its keys; `limit` is null if it has none. The
    usage is what all entries sent to upstreams in the last `USAGE_WINDOW_S`,
    and reported; retries count once.
    """

    name: str
    priority: int
    keys: tuple[str, ...]
    limit: WorkspaceLimit | None
    requests_per_s: float
    tokens_per_s: float


@final
class ListedWorkspaces(msgspec.Struct, frozen=True, kw_only=True):
    """The workspaces of one version of the document, and its public routes."""

    version: int
    workspaces: tuple[ListedWorkspace, ...]
    public_routes: tuple[str, ...]


def list_workspaces(
    document: RoutingDocument, usage_book: UsageBook, now: float
) -> ListedWorkspaces:
    """Return the workspaces of a document in the order of their names."""
    workspaces = sorted(document.workspaces or (), key=lambda one: one.name)
    return ListedWorkspaces(
        version=document.version,
        workspaces=tuple(
            _list_workspace(workspace, usage_book, now)
            for workspace in workspaces
        ),
        public_routes=tuple(
            route.name for route in document.routes if route.is_public
        ),
    )


def _list_workspace(
    workspace: Workspace, usage_book: UsageBook, now: float
) -> ListedWorkspace:
    requests_per_s, tokens_per_s = usage_book.find_usage(workspace.name, now)
    return ListedWorkspace(
        name=workspace.name,
        priority=workspace.priority,
        keys=tuple(map(fingerprint_key, workspace.key_hashes)),
        limit=workspace.limit,
        requests_per_s=round(requests_per_s, 1),
        tokens_per_s=round(tokens_per_s, 1),
    )
