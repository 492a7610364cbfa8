"""The memory and the connections that a VM has for its peers."""

import os
from typing import Final

from persimmonhold.observability import Metrics
from persimmonhold.settings import VmSettings
from persimmonhold.system._eviction_log import EvictionLog
from persimmonhold.web import CONNECTION_BYTES, MemoryBudget

_BYTES_PER_MB: Final = 1_000_000
# The program, its routes and the state of its VMs take 35 to 100 MB; the
# allocator returns little of what was freed.
_MEMORY_SHARE: Final = 0.2
_UNKNOWN_MEMORY_BUDGET_BYTES: Final = 268_435_456
# Each request that runs has a connection to an upstream, too, and idle ones
# are kept.
_DESCRIPTOR_SHARE: Final = 0.45
# Connections without a request may take half of the memory for peers.
_IDLE_SHARE: Final = 0.5
_MAX_CONNECTIONS: Final = 16_384  # also where descriptors have no limit


def create_peer_budget(settings: VmSettings, metrics: Metrics) -> MemoryBudget:
    """Return the budget of a VM; each eviction is counted and logged."""
    limit_bytes = _UNKNOWN_MEMORY_BUDGET_BYTES
    if settings.memory_mb:
        limit_bytes = int(settings.memory_mb * _BYTES_PER_MB * _MEMORY_SHARE)
    connections = min(
        _count_connections(settings),
        int(limit_bytes * _IDLE_SHARE / CONNECTION_BYTES),
    )
    budget = MemoryBudget(limit_bytes, connections)
    budget.on_eviction = EvictionLog(budget, metrics).record
    return budget


def _count_connections(settings: VmSettings) -> int:
    """Return how many connections of peers the descriptors allow."""
    descriptors = settings.max_descriptors
    if not descriptors:
        descriptors = os.sysconf('SC_OPEN_MAX')
    if descriptors < 0:  # there is no limit
        return _MAX_CONNECTIONS
    allowed = int(descriptors * _DESCRIPTOR_SHARE)
    return max(1, min(_MAX_CONNECTIONS, allowed))
