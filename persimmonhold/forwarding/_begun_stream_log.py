"""Records in the control log where streams have begun.

An entry and the VM that leads control may end together. Streams of a service
whose upstreams are of several builds could then go on nowhere.
"""

from typing import final

from returns.result import Failure as Failed

from persimmonhold.control.machine import change_streams
from persimmonhold.control.shell import ControlNode
from persimmonhold.observability import LogLevel, log_event
from persimmonhold.streams import (
    STREAM_LIFE_S,
    BegunPlanner,
    StreamRecord,
    StreamRegistry,
)


@final
class BegunStreamLog:
    """Commits the streams that entries report to the VM that leads control."""

    __slots__ = ('node', 'planner')

    def __init__(self, node: ControlNode) -> None:
        """Create a log of a VM with control."""
        self.node = node
        self.planner = BegunPlanner(StreamRecord())

    @property
    def record(self) -> StreamRecord:
        """What is recorded, as far as this VM knows."""
        return self.node.state.streams

    def begin_term(self, reported: StreamRegistry, now: float) -> None:
        """Begin a term, in which some streams have been reported before."""
        self.planner = BegunPlanner(self.record)
        self.planner.add_reported(
            reported.list_begun_since(now - STREAM_LIFE_S), now
        )

    async def commit_due(self, now: float) -> None:
        """Commit what is due; streams that fail are tried again."""
        planner = self.planner
        change = planner.plan(self.record, now)
        if change is None:
            return
        outcome = await self.node.propose(
            change_streams(self.node.now_ms(), change)
        )
        if isinstance(outcome, Failed):
            log_event(
                'streams_not_recorded',
                LogLevel.warning,
                streams=sum(one.count for one in change.begun),
                failure=outcome.failure().describe(),
            )
        else:
            planner.record_committed(change)
