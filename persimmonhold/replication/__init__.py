"""The process around consensus: storage, transport and applying."""

from persimmonhold.replication._log_applier import LogApplier
from persimmonhold.replication._replicated_log import ReplicatedLog

__all__ = ('LogApplier', 'ReplicatedLog')
