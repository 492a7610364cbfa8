"""A Raft-family consensus core: elections, log, snapshots, membership."""

from persimmonhold.consensus._actions import (
    Action,
    Apply,
    Persist,
    ReadReady,
    ReadsFailed,
    ResetReplica,
    Restore,
    Send,
)
from persimmonhold.consensus._boot import Boot
from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._hard_state import HardState
from persimmonhold.consensus._log_entry import EntryKind, LogEntry
from persimmonhold.consensus._member import Member, ReplicaId, vm_of
from persimmonhold.consensus._messages import Envelope
from persimmonhold.consensus._raft_log import RaftLog
from persimmonhold.consensus._replica import Replica
from persimmonhold.consensus._role import Role
from persimmonhold.consensus._snapshot import Snapshot
from persimmonhold.consensus._timings import Timings

__all__ = (
    'ResetReplica',
    'Action',
    'Apply',
    'Boot',
    'Configuration',
    'EntryKind',
    'Envelope',
    'HardState',
    'LogEntry',
    'Member',
    'Persist',
    'RaftLog',
    'ReadReady',
    'ReadsFailed',
    'Replica',
    'ReplicaId',
    'Restore',
    'Role',
    'Send',
    'Snapshot',
    'Timings',
    'vm_of',
)
