"""What all entries have forwarded for workspaces in the last seconds."""

from typing import Final, TypeAlias, final

from persimmonhold.usage._workspace_usage import WorkspaceUsage

USAGE_WINDOW_S: Final = 10
_Sums: TypeAlias = dict[str, tuple[int, int]]  # requests and tokens


@final
class UsageBook:
    """Sums the usage that entries report, by second and workspace.

    `_newest` has the incarnation and the number of each entry's last message.
    """

    __slots__ = ('_newest', '_seconds')

    def __init__(self) -> None:
        """Create an empty book."""
        self._seconds: dict[int, _Sums] = {}
        self._newest: dict[str, tuple[str, int]] = {}

    def record_usage(
        self, entry: str, message: WorkspaceUsage, now: float
    ) -> None:
        """Add the usage of an entry, unless the message was repeated."""
        incarnation, sequence = self._newest.get(entry, ('', 0))
        if message.incarnation == incarnation and message.sequence <= sequence:
            return
        self._newest[entry] = (message.incarnation, message.sequence)
        self._forget_old(now)
        sums = self._seconds.setdefault(int(now), {})
        for used in message.used:
            requests, tokens = sums.get(used.workspace, (0, 0))
            sums[used.workspace] = (
                requests + used.requests,
                tokens + used.tokens,
            )

    def find_usage(self, workspace: str, now: float) -> tuple[float, float]:
        """Return requests and tokens a second over `USAGE_WINDOW_S`."""
        self._forget_old(now)
        found = [sums.get(workspace, (0, 0)) for sums in self._seconds.values()]
        requests = sum(count for count, _ in found)
        tokens = sum(count for _, count in found)
        return requests / USAGE_WINDOW_S, tokens / USAGE_WINDOW_S

    def _forget_old(self, now: float) -> None:
        horizon = int(now) - USAGE_WINDOW_S
        for second in tuple(self._seconds):
            if second <= horizon:
                self._seconds.pop(second)
