"""Holds acknowledgements back while voters of the control log are missing."""

import asyncio
from typing import Final, final

from persimmonhold.observability import LogLevel, log_event
from persimmonhold.replication import ReplicatedLog

# A change is not held up for longer by replicas that join too slowly. The time
# that the VMs took to apply it counts, since callers wait 4 s for the answer.
_MAX_WAIT_S: Final = 3.0
_POLL_INTERVAL_S: Final = 0.05
# Callers send a change again within this time; if nobody has waited for longer,
# voters that are missing are missing anew.
_MAX_GAP_S: Final = 2.0


@final
class VoterWait:
    """Waits until the log survives the loss of as many disks as it should.

    Some change has waited since `since`, last at `waited_at`: a change that is
    sent again does not wait anew. Times are those of the event loop.
    """

    __slots__ = ('log', 'since', 'waited_at')

    def __init__(self, log: ReplicatedLog) -> None:
        """Create the wait of a control replica."""
        self.log = log
        self.since = 0.0
        self.waited_at = float('-inf')

    async def wait(self, index: int, began_at: float) -> bool:
        """Wait before the change at an index is acknowledged.

        It was sent at `began_at`. Returns False if this replica does not lead
        any more after a wait.
        """
        if not self.log.status().is_short_of_voters:
            return True
        while self.log.status().is_short_of_voters:
            if self._has_waited(began_at):
                log_event(
                    'accepted_with_few_voters', LogLevel.warning, index=index
                )
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        return self.log.is_leader

    def _has_waited(self, began_at: float) -> bool:
        """Tell whether a change has waited for long enough, and go on."""
        now = asyncio.get_running_loop().time()
        if now - self.waited_at > _MAX_GAP_S:
            self.since = now
        self.waited_at = now
        return now - min(began_at, self.since) >= _MAX_WAIT_S
