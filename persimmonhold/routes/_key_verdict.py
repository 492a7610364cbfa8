"""Whether a request may be forwarded with the key that it carries."""

from typing import Final, final

import msgspec

from persimmonhold.routes._workspace import Workspace

UNKNOWN_KEY: Final = 'unknown_key'  # reason of refusals


@final
class KeyVerdict(msgspec.Struct, frozen=True, kw_only=True):
    """The workspace of a request, or the reason why it is refused.

    `refusal` is empty if the request may be forwarded. `workspace` is None on
    public routes, and if no workspaces are configured.
    """

    refusal: str = ''
    workspace: Workspace | None = None

    @property
    def workspace_name(self) -> str:
        """The name of the workspace, or an empty string without one."""
        return '' if self.workspace is None else self.workspace.name

    @property
    def priority(self) -> int:
        """The priority of the workspace; 0 without one."""
        return 0 if self.workspace is None else self.workspace.priority
