"""Which services' upstreams an entry reaches over its own links."""

from persimmonhold.reach._reach_monitor import ReachMonitor

__all__ = ('ReachMonitor',)
