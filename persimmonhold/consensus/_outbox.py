"""The queue of a replica's actions; delays messages until writes are synced."""

from collections import deque
from typing import final

from persimmonhold.consensus._actions import Action, Persist, Send
from persimmonhold.consensus._hard_state import HardState
from persimmonhold.consensus._log_entry import LogEntry
from persimmonhold.consensus._snapshot import Snapshot


@final
class Outbox:
    """The queue of actions for the host process, in order.

    Invariant: a message passed to `send_after_sync` is released only after
    every `Persist` that was issued before it has been confirmed. `Persist`
    actions are numbered from 1.
    """

    __slots__ = (
        '_actions',
        '_waiting',
        'last_confirmed_number',
        'last_issued_number',
    )

    def __init__(self) -> None:
        """Create an empty outbox."""
        self.last_issued_number = 0
        self.last_confirmed_number = 0
        self._actions: list[Action] = []
        self._waiting: deque[tuple[int, Send]] = deque()

    def emit(self, action: Action) -> None:
        """Queue an action that does not wait for a sync of earlier writes."""
        self._actions.append(action)

    def send_after_sync(self, action: Send) -> None:
        """Hold a message back until all writes issued so far are confirmed."""
        if self.last_issued_number > self.last_confirmed_number:
            self._waiting.append((self.last_issued_number, action))
        else:
            self._actions.append(action)

    def persist(
        self,
        *,
        hard_state: HardState | None = None,
        snapshot: Snapshot | None = None,
        is_reset: bool = False,
        entries: tuple[LogEntry, ...] = (),
    ) -> int:
        """Queue a `Persist` action for the given data; return its number."""
        self.last_issued_number += 1
        self._actions.append(
            Persist(
                number=self.last_issued_number,
                hard_state=hard_state,
                snapshot=snapshot,
                is_reset=is_reset,
                entries=entries,
            ),
        )
        return self.last_issued_number

    def confirm_persisted(self, number: int) -> None:
        """Confirm all writes up to a number; queue messages that await them."""
        self.last_confirmed_number = max(self.last_confirmed_number, number)
        while (
            self._waiting and self._waiting[0][0] <= self.last_confirmed_number
        ):
            self._actions.append(self._waiting.popleft()[1])

    def take_actions(self) -> tuple[Action, ...]:
        """Return the queued actions and clear the queue."""
        taken = tuple(self._actions)
        self._actions.clear()
        return taken
