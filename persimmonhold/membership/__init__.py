"""Tracks which VMs are live, and disseminates the control view to all."""

from persimmonhold.membership._ack_table import AckTable
from persimmonhold.membership._membership_timings import MembershipTimings
from persimmonhold.membership._messages import (
    AgentMessage,
    Heartbeat,
    HeartbeatAnswer,
    Pull,
    Send,
    SnapshotPart,
    ViewAnnouncement,
    ViewChanges,
)
from persimmonhold.membership._proof_table import ProofTable, majority_size
from persimmonhold.membership._view_updater import ViewUpdater
from persimmonhold.membership._vm_agent import VmAgent

__all__ = (
    'AckTable',
    'AgentMessage',
    'Heartbeat',
    'HeartbeatAnswer',
    'MembershipTimings',
    'ProofTable',
    'Pull',
    'Send',
    'SnapshotPart',
    'ViewAnnouncement',
    'ViewChanges',
    'ViewUpdater',
    'VmAgent',
    'majority_size',
)
