"""Counts what an entry forwards for workspaces."""

from typing import Final, final

from persimmonhold.usage._workspace_usage import UsedTokens, WorkspaceUsage

_INTERVAL_S: Final = 2.0  # operators see the usage of the last ten seconds
_MAX_REPORTED: Final = 256  # workspaces in one message, of some 30 bytes each


@final
class WorkspaceMeter:
    """Counts requests and tokens that were sent, until the next message."""

    __slots__ = ('_reported_at', '_sequence', '_used')

    def __init__(self) -> None:
        """Create a meter without any usage."""
        self._used: dict[str, tuple[int, int]] = {}
        self._sequence = 0
        self._reported_at = float('-inf')

    def record_request(self, workspace: str, tokens: int) -> None:
        """Count a request that was sent, and the tokens that it stated."""
        requests, sum_tokens = self._used.get(workspace, (0, 0))
        self._used[workspace] = (requests + 1, sum_tokens + tokens)

    def build_message(
        self, incarnation: str, now: float
    ) -> WorkspaceUsage | None:
        """Return the usage that was not reported yet; None if none is due."""
        if not self._used or now < self._reported_at + _INTERVAL_S:
            return None
        self._reported_at = now
        self._sequence += 1
        names = tuple(self._used)[:_MAX_REPORTED]
        return WorkspaceUsage(
            incarnation=incarnation,
            sequence=self._sequence,
            used=tuple(
                UsedTokens(name, *self._used.pop(name)) for name in names
            ),
        )
