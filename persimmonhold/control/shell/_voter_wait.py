"""Holds an acknowledgement back while voters of the control log are missing."""

import asyncio
from typing import Final

from persimmonhold.observability import LogLevel, log_event
from persimmonhold.replication import ReplicatedLog

# A change is not held up for longer by replicas that join too slowly. The time
# that the VMs took to apply it counts, since callers wait 4 s for the answer.
_MAX_WAIT_S: Final = 3.0
_POLL_INTERVAL_S: Final = 0.05


async def wait_for_voters(
    log: ReplicatedLog, index: int, began_at: float
) -> bool:
    """Wait until the log survives the loss of as many disks as it should.

    `index` is that of the change, for the log line, and `began_at` the time of
    the loop at which it was sent. Returns False if this
    replica does not lead any more after a wait.
    """
    if not log.status().is_short_of_voters:
        return True
    loop = asyncio.get_running_loop()
    while log.status().is_short_of_voters:
        if loop.time() - began_at >= _MAX_WAIT_S:
            log_event('accepted_with_few_voters', LogLevel.warning, index=index)
            break
        await asyncio.sleep(_POLL_INTERVAL_S)
    return log.is_leader
