"""The replicated log of a control VM, from its settings."""

import random
import time
from pathlib import Path
from typing import Final

from persimmonhold.consensus import Timings
from persimmonhold.replication import (
    LogApplier,
    ReplicaNode,
    ReplicaSettings,
)
from persimmonhold.settings import Settings
from persimmonhold.transport import Transport

_FOLDER: Final = 'control'
_MS_PER_S: Final = 1000


def open_replica(
    settings: Settings,
    applier: LogApplier,
    transport: Transport,
) -> ReplicaNode:
    """Return the replica whose files are under the data folder."""
    folder = Path(settings.vm.data_directory) / _FOLDER
    return ReplicaNode(
        ReplicaSettings(
            name=settings.vm.name,
            address=settings.peers.address,
            initial=settings.peers.control_addresses,
            timings=Timings(
                heartbeat_s=settings.peers.heartbeat_ms / _MS_PER_S,
                election_timeout_s=(
                    settings.peers.election_timeout_ms / _MS_PER_S
                ),
            ),
        ),
        folder,
        transport,
        applier,
        random.Random(),
        time.monotonic,
    )
