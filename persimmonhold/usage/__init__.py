"""What entries forward for workspaces, as operators see it.

Each entry counts, and the fleet controller sums up. Nothing in this package
performs input or output.
"""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports
from persimmonhold.usage._workspace_meter import WorkspaceMeter
from persimmonhold.usage._workspace_usage import UsedTokens, WorkspaceUsage

if TYPE_CHECKING:
    from persimmonhold.usage._usage_book import USAGE_WINDOW_S, UsageBook

__all__ = (
    'USAGE_WINDOW_S',
    'UsageBook',
    'UsedTokens',
    'WorkspaceMeter',
    'WorkspaceUsage',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {'USAGE_WINDOW_S': '_usage_book', 'UsageBook': '_usage_book'},
    )
