"""Recent planner decisions, with reasons for moves made and not made.

Invariant: the number of decisions kept for each target is bounded; a repeated
reason for not moving is kept once, with the time it first applied.
"""

from collections import deque
from collections.abc import Collection
from typing import Final, final

from persimmonhold.placement._decision import Decision
from persimmonhold.placement._move import Move

# At most this many moves of each target are kept; older ones are dropped.
_MAX_MOVES_PER_TARGET: Final = 8


@final
class DecisionHistory:
    """The last moves of each target, and why it does not get a needed move."""

    __slots__ = ('_blocked_decisions', '_move_decisions')

    def __init__(self) -> None:
        """Create an empty history."""
        self._move_decisions: dict[str, deque[Decision]] = {}
        self._blocked_decisions: dict[str, Decision] = {}

    def record_move(self, move: Move, now: float) -> None:
        """Record a planned move and drop the reason that blocked its target.

        A move with the same action and reason as the last recorded move of
        the target is not added again.
        """
        self._blocked_decisions.pop(move.target, None)
        moves = self._move_decisions.setdefault(
            move.target,
            deque(maxlen=_MAX_MOVES_PER_TARGET),
        )
        action = f'{move.kind} at {move.place.upstream}'
        action = f'{action}/{move.place.accelerator}'
        if moves and (moves[-1].action, moves[-1].reason) == (
            action,
            move.reason,
        ):
            return
        moves.append(
            Decision(
                at=now,
                target=move.target,
                is_move=True,
                action=action,
                reason=move.reason,
            ),
        )

    def record_blocked(self, target: str, reason: str, now: float) -> None:
        """Record why a target does not get a move that it needs.

        If the same reason is already recorded, its earlier time is kept.
        """
        known = self._blocked_decisions.get(target)
        if known is None or known.reason != reason:
            self._blocked_decisions[target] = Decision(
                at=now,
                target=target,
                is_move=False,
                action='stay',
                reason=reason,
            )

    def clear_blocked(self, target: str) -> None:
        """Drop the recorded reason of a target that needs no move now."""
        self._blocked_decisions.pop(target, None)

    def retain_targets(self, targets: Collection[str]) -> None:
        """Drop the decisions about all targets that are not in `targets`."""
        for target in self._move_decisions.keys() - targets:
            self._move_decisions.pop(target)
        for target in self._blocked_decisions.keys() - targets:
            self._blocked_decisions.pop(target)

    def find_decisions(self, target: str) -> tuple[Decision, ...]:
        """Return the last moves of a target, oldest first.

        If the target does not get a move that it needs, the decision that
        gives the reason comes last.
        """
        blocked = self._blocked_decisions.get(target)
        moves = tuple(self._move_decisions.get(target, ()))
        return (*moves, blocked) if blocked else moves
