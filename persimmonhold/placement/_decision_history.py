"""The kept reasons of moves made and not made.

Invariant: at most a fixed number of decisions is kept for each target; a
repeated reason for not moving is kept once, with the time it began.
"""

from collections import deque
from collections.abc import Collection
from typing import Final, final

from persimmonhold.placement._decision import Decision
from persimmonhold.placement._move import Move

_KEPT_PER_TARGET: Final = 8


@final
class DecisionHistory:
    """The last decisions of every target."""

    __slots__ = ('_blocked', '_moves')

    def __init__(self) -> None:
        """Create a record without decisions."""
        self._moves: dict[str, deque[Decision]] = {}
        self._blocked: dict[str, Decision] = {}

    def record_move(self, move: Move, now: float) -> None:
        """Keep a move; what blocked its target is forgotten."""
        self._blocked.pop(move.target, None)
        kept = self._moves.setdefault(
            move.target,
            deque(maxlen=_KEPT_PER_TARGET),
        )
        action = f'{move.kind} at {move.place.upstream}'
        action = f'{action}/{move.place.accelerator}'
        if kept and (kept[-1].action, kept[-1].reason) == (
            action,
            move.reason,
        ):
            return
        kept.append(
            Decision(
                at=now,
                target=move.target,
                is_move=True,
                action=action,
                reason=move.reason,
            ),
        )

    def record_blocked(self, target: str, reason: str, now: float) -> None:
        """Keep why a move that would have helped is not made."""
        known = self._blocked.get(target)
        if known is None or known.reason != reason:
            self._blocked[target] = Decision(
                at=now,
                target=target,
                is_move=False,
                action='stay',
                reason=reason,
            )

    def clear_blocked(self, target: str) -> None:
        """Forget why a target did not move: it no longer wants to."""
        self._blocked.pop(target, None)

    def retain_targets(self, targets: Collection[str]) -> None:
        """Forget targets that are not catalogued any more."""
        for target in self._moves.keys() - targets:
            self._moves.pop(target)
        for target in self._blocked.keys() - targets:
            self._blocked.pop(target)

    def find_decisions(self, target: str) -> tuple[Decision, ...]:
        """Return the decisions of a target, the present block last."""
        blocked = self._blocked.get(target)
        moves = tuple(self._moves.get(target, ()))
        return (*moves, blocked) if blocked else moves
