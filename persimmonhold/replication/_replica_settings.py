"""Settings of a replica, fixed at its start."""

from typing import final

import msgspec

from persimmonhold.consensus import Timings
from persimmonhold.replication._log_bounds import LogBounds


@final
class ReplicaSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of one replica: its VM, its group, and its limits.

    `initial_members` maps VM names to `ip:port`. The group maintains
    `voter_count` voters; 0 means as many as there are initial members.
    Further VMs with a disk are spares. Unless `can_bootstrap` is set, a VM
    with an empty disk waits until the group adds it.

    `proposal_timeout_s` bounds each proposal, read and transfer, and
    `max_queued_proposals` also bounds queued reads. A snapshot is taken every
    `entries_per_snapshot` applied entries; it is written in parts of
    `snapshot_part_bytes`, and the log retains the last `kept_entries` entries
    that it covers, for members that lag behind. `bounds` limits the same by
    size, and whichever limit is reached first applies.
    """

    name: str
    address: str
    initial_members: dict[str, str]
    voter_count: int = 0
    can_bootstrap: bool = True
    timings: Timings = Timings()
    proposal_timeout_s: float = 5.0
    max_queued_proposals: int = 4096
    max_queued_messages: int = 4096
    entries_per_snapshot: int = 8192
    snapshot_part_bytes: int = 1_048_576
    kept_entries: int = 1024
    bounds: LogBounds = LogBounds()
