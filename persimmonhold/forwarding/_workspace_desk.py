"""What operators see of workspaces; keys are shown by their fingerprints."""

from typing import final

import msgspec

from persimmonhold.routes import (
    RoutingDocument,
    Workspace,
    WorkspaceLimit,
    fingerprint_key,
)


@final
class ListedWorkspace(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace of the document in force, as operators see it.

    `keys` are the fingerprints of its keys; `limit` is null if it has none.
    """

    name: str
    priority: int
    keys: tuple[str, ...]
    limit: WorkspaceLimit | None


@final
class ListedWorkspaces(msgspec.Struct, frozen=True, kw_only=True):
    """The workspaces of one version of the document, and its public routes."""

    version: int
    workspaces: tuple[ListedWorkspace, ...]
    public_routes: tuple[str, ...]


def list_workspaces(document: RoutingDocument) -> ListedWorkspaces:
    """Return the workspaces of a document in the order of their names."""
    workspaces = sorted(document.workspaces or (), key=lambda one: one.name)
    return ListedWorkspaces(
        version=document.version,
        workspaces=tuple(map(_list_workspace, workspaces)),
        public_routes=tuple(
            route.name for route in document.routes if route.is_public
        ),
    )


def _list_workspace(workspace: Workspace) -> ListedWorkspace:
    return ListedWorkspace(
        name=workspace.name,
        priority=workspace.priority,
        keys=tuple(map(fingerprint_key, workspace.key_hashes)),
        limit=workspace.limit,
    )
