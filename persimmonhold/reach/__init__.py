"""Which services' upstreams an entry reaches, and which entries reach others.

Nothing in this package performs input or output.
"""

from persimmonhold.reach._reach_monitor import OUT_OF_REACH, ReachMonitor
from persimmonhold.reach._relay_peers import RelayPeers

__all__ = ('OUT_OF_REACH', 'ReachMonitor', 'RelayPeers')
