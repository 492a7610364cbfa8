"""Connections to upstreams, and what they and the platform report."""

from persimmonhold.upstreams._connection_pool import ConnectionPool
from persimmonhold.upstreams._observer import UpstreamObserver
from persimmonhold.upstreams._upstream_pollers import UpstreamPollers

__all__ = ('ConnectionPool', 'UpstreamObserver', 'UpstreamPollers')
