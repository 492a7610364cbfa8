"""The routing state of one upstream."""

from typing import final

from persimmonhold.routing._prefix_index import PrefixIndex
from persimmonhold.routing._router_settings import RouterSettings
from persimmonhold.routing._upstream_health import UpstreamHealth
from persimmonhold.routing._upstream_load import UpstreamLoad


@final
class UpstreamState:
    """What an entry knows of one upstream: load, health and prefix cache."""

    __slots__ = ('health', 'load', 'prefix_index')

    def __init__(self, settings: RouterSettings) -> None:
        """Create the state of an upstream without reports or attempts."""
        self.load = UpstreamLoad(settings)
        self.health = UpstreamHealth(settings)
        self.prefix_index = PrefixIndex(settings.prefix_blocks_per_upstream)
