"""Which VMs are live, which view they hold, and whether they may serve."""

from persimmonhold.membership._ack_table import AckTable
from persimmonhold.membership._membership_timings import MembershipTimings
from persimmonhold.membership._messages import (
    AgentMessage,
    Heartbeat,
    HeartbeatAnswer,
    Pull,
    Send,
    SnapshotPart,
    ViewChanges,
)
from persimmonhold.membership._proof_table import ProofTable, majority
from persimmonhold.membership._view_reader import ViewReader
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
    'ViewChanges',
    'ViewReader',
    'VmAgent',
    'majority',
)
