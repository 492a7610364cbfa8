"""What a replica process is told at its start."""

from typing import final

import msgspec

from persimmonhold.consensus import Timings


@final
class ReplicaSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Name and address of this VM, the first members, and bounds.

    `initial` holds `ip:port` by VM name. The group keeps `voters` voters, as
    many as there are in `initial` by default; further VMs with a disk are
    spares. Without `may_found` a VM with an empty disk waits to be taken in.
    """

    name: str
    address: str
    initial_members: dict[str, str]
    voters: int = 0
    can_bootstrap: bool = True
    timings: Timings = Timings()
    proposal_timeout_s: float = 5.0
    max_queued_proposals: int = 4096
    max_queued_messages: int = 4096
    snapshot_entries: int = 8192
    snapshot_part_bytes: int = 1_048_576
    kept_entries: int = 1024
