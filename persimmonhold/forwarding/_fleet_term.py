"""The fleet controller of one leadership term."""

import asyncio
from typing import Final, final

from persimmonhold.fleet import FleetController
from persimmonhold.usage import UsageBook

# Low bits of a fencing token: the number of the order within its term.
_TOKEN_NUMBER_BITS: Final = 24


@final
class FleetTerm:
    """The fleet controller of one leadership term, and the tasks for it.

    The dictionaries are keyed by upstream. `issued_token_count` is the number
    of fencing tokens used in the term.
    """

    __slots__ = (
        'controller',
        'issued_token_count',
        'lease_task',
        'order_tasks',
        'order_wakeups',
        'record_task',
        'report_requested_at',
        'report_tasks',
        'usage_book',
    )

    def __init__(self, controller: FleetController) -> None:
        """Create a term without any task."""
        self.controller = controller
        self.issued_token_count = 0
        self.order_tasks: dict[str, asyncio.Task[None]] = {}
        self.report_tasks: dict[str, asyncio.Task[None]] = {}
        self.order_wakeups: dict[str, asyncio.Event] = {}
        self.report_requested_at: dict[str, float] = {}
        self.usage_book = UsageBook()
        self.lease_task: asyncio.Task[None] | None = None
        self.record_task: asyncio.Task[None] | None = None

    def issue_fencing_token(self) -> int:
        """Return a fencing token above all earlier ones."""
        self.issued_token_count += 1
        term_bits = self.controller.term << _TOKEN_NUMBER_BITS
        return term_bits + self.issued_token_count

    async def wait_for_record(self) -> bool:
        """Wait until the recorded builds are current; False if the term ended.

        Raises what the task that waits for it has raised.
        """
        if self.record_task is None:
            return False
        await asyncio.wait((self.record_task,))
        if self.record_task.cancelled():
            return False
        self.record_task.result()
        return True

    def close(self) -> None:
        """Cancel all tasks of the term."""
        for task in (*self.order_tasks.values(), *self.report_tasks.values()):
            task.cancel()
        for start in (self.lease_task, self.record_task):
            if start is not None:
                start.cancel()
