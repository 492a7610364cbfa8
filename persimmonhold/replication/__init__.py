"""Runs a consensus replica with its storage, transport and applier."""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports

if TYPE_CHECKING:
    from persimmonhold.replication._log_applier import LogApplier
    from persimmonhold.replication._log_bounds import LogBounds
    from persimmonhold.replication._member_status import MemberStatus
    from persimmonhold.replication._replica_node import ReplicaNode
    from persimmonhold.replication._replica_settings import ReplicaSettings
    from persimmonhold.replication._replica_status import ReplicaStatus
    from persimmonhold.replication._replicated_log import ReplicatedLog

__all__ = (
    'LogApplier',
    'LogBounds',
    'MemberStatus',
    'ReplicaNode',
    'ReplicaSettings',
    'ReplicaStatus',
    'ReplicatedLog',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'LogApplier': '_log_applier',
            'LogBounds': '_log_bounds',
            'MemberStatus': '_member_status',
            'ReplicaNode': '_replica_node',
            'ReplicaSettings': '_replica_settings',
            'ReplicaStatus': '_replica_status',
            'ReplicatedLog': '_replicated_log',
        },
    )
