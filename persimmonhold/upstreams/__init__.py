"""Connections to upstreams, and polling of upstreams and of the platform."""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports

if TYPE_CHECKING:
    from persimmonhold.upstreams._connection_pool import ConnectionPool
    from persimmonhold.upstreams._idle_limit import (
        find_idle_limit_s,
        share_idle_connections,
    )
    from persimmonhold.upstreams._observer import UpstreamObserver
    from persimmonhold.upstreams._upstream_pollers import UpstreamPollers

__all__ = (
    'ConnectionPool',
    'UpstreamObserver',
    'UpstreamPollers',
    'find_idle_limit_s',
    'share_idle_connections',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'ConnectionPool': '_connection_pool',
            'UpstreamObserver': '_observer',
            'UpstreamPollers': '_upstream_pollers',
            'find_idle_limit_s': '_idle_limit',
            'share_idle_connections': '_idle_limit',
        },
    )
