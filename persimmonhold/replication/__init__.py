"""Runs a consensus replica with its storage, transport and applier."""

from persimmonhold.replication._log_applier import LogApplier
from persimmonhold.replication._member_status import MemberStatus
from persimmonhold.replication._replica_node import ReplicaNode
from persimmonhold.replication._replica_settings import ReplicaSettings
from persimmonhold.replication._replica_status import ReplicaStatus
from persimmonhold.replication._replicated_log import ReplicatedLog

__all__ = (
    'LogApplier',
    'MemberStatus',
    'ReplicaNode',
    'ReplicaSettings',
    'ReplicaStatus',
    'ReplicatedLog',
)
