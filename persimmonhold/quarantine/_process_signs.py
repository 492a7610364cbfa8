"""What an entry notices of upstreams that have cut responses."""

from collections import OrderedDict
from typing import Final, TypeAlias, final

from persimmonhold.quarantine._messages import ProcessSign

_ProcessKey: TypeAlias = tuple[str, int]
_MAX_PROCESSES: Final = 64
# A process is followed for as long as a quarantine may rest on it.
_FOLLOWED_S: Final = 600.0
_INTERVAL_S: Final = 0.5  # between signs of one process


@final
class _Sign:
    """When a process was followed and last reported, and the last sign."""

    __slots__ = ('at', 'followed_at', 'has_answered', 'number', 'reported_at')

    def __init__(self, followed_at: float) -> None:
        self.followed_at = followed_at
        self.reported_at = float('-inf')
        self.number = 0
        self.at = followed_at
        self.has_answered = False


@final
class ProcessSigns:
    """The newest sign of each process that is followed, up to a bound."""

    __slots__ = ('signs',)

    def __init__(self) -> None:
        """Create without processes."""
        self.signs: OrderedDict[_ProcessKey, _Sign] = OrderedDict()

    def follow(self, process: _ProcessKey, now: float) -> None:
        """Follow a process that has cut a response."""
        self.signs[process] = _Sign(now)
        self.signs.move_to_end(process)
        if len(self.signs) > _MAX_PROCESSES:
            self.signs.popitem(last=False)

    def is_due(self, process: _ProcessKey, at: float, now: float) -> bool:
        """Tell whether a sign at a time is to be reported now."""
        sign = self.signs.get(process)
        if sign is None or at <= sign.followed_at:
            return False
        if now - sign.followed_at > _FOLLOWED_S:
            self.signs.pop(process)
            return False
        return now - sign.reported_at >= _INTERVAL_S

    def add(
        self,
        number: int,
        process: _ProcessKey,
        at: float,
        *,
        has_answered: bool,
    ) -> None:
        """Add a sign as the observation with a number."""
        sign = self.signs[process]
        sign.number = number
        sign.at = at
        sign.reported_at = at
        sign.has_answered = has_answered

    def list_since(self, number: int, now: float) -> tuple[ProcessSign, ...]:
        """Return the signs after an observation."""
        return tuple(
            ProcessSign(*process, now - sign.at, sign.has_answered)
            for process, sign in self.signs.items()
            if sign.number > number
        )
